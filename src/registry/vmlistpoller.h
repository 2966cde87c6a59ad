#pragma once

#include "registry/messages.h"
#include "supervision/clock.h"
#include "supervision/subscribers.h"
#include "wire/httpclient.h"

#include <boost/json/value.hpp>

#include <caf/event_based_actor.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// How the list of VMs is read.
struct VmListPollerSettings
{
    HttpEndpoint endpoint;
    Duration interval{std::chrono::seconds(1)};
    Duration timeout{std::chrono::milliseconds(900)}; ///< Of one read.
    std::size_t bodyLimit = std::size_t{4} * 1024 * 1024;
};

/// Reads the platform's list of VMs at a fixed interval and reports changes to its subscribers.
/// Without subscribers it reads nothing.
/// While the service doesn't answer, the last list stays in force. Must be spawned detached.
class VmListPoller : public caf::event_based_actor
{
public:
    /// \a subscribers are those of an earlier run.
    VmListPoller(caf::actor_config &config, VmListPollerSettings settings,
                 std::shared_ptr<const Clock> clock,
                 std::shared_ptr<Subscribers> subscribers = std::make_shared<Subscribers>());

    caf::behavior make_behavior() override;

    /// Releases references to other actors: mutual references would keep both threads alive.
    void on_exit() override;

private:
    void subscribe(const caf::actor &subscriber);
    void unsubscribe(const caf::actor_addr &subscriber);
    void schedule();
    void poll();
    Result<std::vector<VmEntry>> readList();
    void accept(std::vector<VmEntry> entries);
    boost::json::value state() const;

    VmListPollerSettings settings_;
    std::shared_ptr<const Clock> clock_;
    HttpClient client_;
    std::shared_ptr<Subscribers> subscribers_;
    std::optional<std::vector<VmEntry>> entries_; ///< Empty until the first read.
    bool scheduled_ = false;
    std::uint64_t failures_ = 0;
    std::string lastError_; ///< Of the last read; empty after a success.
};

} // namespace shallotwalk
