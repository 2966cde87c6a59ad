#include "databases/servertable.h"

#include "supervision/messages.h"

#include <algorithm>

namespace shallotwalk {

ServerTable::ServerTable(const std::vector<BackendServer> &servers)
{
    for (const auto &server : servers)
        servers_.push_back({server, {}, {}, false});
}

ServerTable::Server *ServerTable::find(std::string_view vm)
{
    const auto found = std::find_if(servers_.begin(), servers_.end(),
                                    [vm](const Server &entry) { return entry.server.vm == vm; });
    return found == servers_.end() ? nullptr : &*found;
}

ServerTable::Server *ServerTable::findMonitor(const caf::actor_addr &address)
{
    const auto found = std::find_if(servers_.begin(), servers_.end(), [&](const Server &entry) {
        return entry.monitor.address() == address;
    });
    return found == servers_.end() ? nullptr : &*found;
}

void ServerTable::sample(const SampleNow &request)
{
    for (const auto &entry : servers_) {
        if (request.vm.empty() || request.vm == entry.server.vm)
            caf::anon_send(entry.monitor, request);
    }
}

void ServerTable::sampleReplicas(std::optional<std::size_t> primary)
{
    for (std::size_t i = 0; i < servers_.size(); ++i) {
        auto &entry = servers_[i];
        if (i == primary || entry.sampling || !entry.monitor)
            continue;
        entry.sampling = true;
        caf::anon_send(entry.monitor, SampleNow{entry.server.vm});
    }
}

std::deque<WorkId> ServerTable::takeWaiting(std::string_view vm)
{
    auto *entry = find(vm);
    return entry == nullptr ? std::deque<WorkId>() : std::exchange(entry->waiting, {});
}

void ServerTable::closeAll()
{
    for (const auto &entry : servers_)
        caf::anon_send(entry.monitor, DrainRequest{});
    servers_.clear();
}

} // namespace shallotwalk
