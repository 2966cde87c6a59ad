#pragma once

#include "configuration/messages.h"
#include "peers/messages.h"
#include "registry/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

namespace shallotwalk {

/// Carries configuration messages between the configuration actor and the peers actor: translates
/// them to and from the peer protocol, asks a peer that has announced a higher version for its
/// head, and tells the configuration actor which proxies the list of VMs names.
class PeerBridge : public caf::event_based_actor
{
public:
    /// \a configuration and \a peers are stable addresses; \a vmList takes SubscribeVmList.
    PeerBridge(caf::actor_config &config, caf::actor configuration, caf::actor peers,
               caf::actor vmList);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    void sendToPeer(const std::string &vm, ConfigurationMessage message);
    void receive(const ConfigurationMessageReceived &received);
    void receiveHead(const std::string &vm, const Head &head);
    void updateProxies(const std::vector<VmEntry> &entries);

    caf::actor configuration_;
    caf::actor peers_;
    caf::actor vmList_;
};

} // namespace shallotwalk
