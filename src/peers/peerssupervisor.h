#pragma once

#include "core/membership.h"
#include "peers/peeridentity.h"
#include "supervision/supervision.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// Settings of the peers branch.
struct PeersSettings
{
    PeerIdentity identity;
    std::string listenHost;     ///< Numeric address; empty for all.
    std::string advertisedHost; ///< Numeric address under which peers reach this proxy.
    std::uint16_t port = 0;     ///< Must not be 0: peers learn it as the address of this proxy.
    std::vector<MemberAddress> seeds;
    std::uint64_t incarnation = 0; ///< Of this run, such as the Unix time in seconds at its start.
};

/// Children of the peers supervisor: "peers" (the main actor), "membership" and "listener". The
/// children get each other's handles at each start and restart. After a restart of "peers" the
/// node must send SetPeerHandlers again; the supervisor's listener sees the restart.
std::vector<ChildSpecification> peersChildren(const PeersSettings &settings,
                                              std::shared_ptr<const Clock> clock);

} // namespace shallotwalk
