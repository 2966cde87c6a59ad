#pragma once

#include "core/tables.h"
#include "databases/messages.h"

#include <caf/actor.hpp>
#include <caf/send.hpp>

#include <deque>
#include <optional>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// The backend servers of one database, with their monitors and the requests that wait for a
/// connection to each. Not thread-safe.
class ServerTable
{
public:
    struct Server
    {
        BackendServer server;
        caf::actor monitor;
        std::deque<WorkId> waiting; ///< For a connection to this server.
        bool sampling = false;      ///< A SampleNow has not been answered.
    };

    explicit ServerTable(const std::vector<BackendServer> &servers);

    /// In the order of the pool's servers.
    std::vector<Server> &all() { return servers_; }
    const std::vector<Server> &all() const { return servers_; }

    Server *find(std::string_view vm);
    Server *findMonitor(const caf::actor_addr &address);

    /// Sends \a message to the monitor of \a vm, if there is such a server.
    template<class Message>
    void tell(std::string_view vm, Message message)
    {
        if (auto *server = find(vm))
            caf::anon_send(server->monitor, std::move(message));
    }

    /// Samples one server or, without a name, all of them.
    void sample(const SampleNow &request);

    /// Samples all servers but \a primary that have answered the last such call.
    void sampleReplicas(std::optional<std::size_t> primary);

    /// Lets \a work wait for a connection to the server at \a index.
    void wait(std::size_t index, WorkId work) { servers_.at(index).waiting.push_back(work); }

    /// Takes the requests that wait for a connection to \a vm.
    std::deque<WorkId> takeWaiting(std::string_view vm);

    /// Ends all monitors.
    void closeAll();

private:
    std::vector<Server> servers_;
};

} // namespace shallotwalk
