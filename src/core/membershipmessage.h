#pragma once

#include "core/tables.h"

#include <cstdint>
#include <string>
#include <vector>

namespace shallotwalk {

/// State of a member, in the order in which states of one incarnation override each other.
enum class MemberState { Alive, Suspect, Dead };

/// What one member tells another about a third.
struct MemberUpdate
{
    std::string vm;
    std::string host;
    std::uint16_t port = 0;
    std::string dataCentre;
    MemberState state = MemberState::Alive;
    std::uint64_t incarnation = 0; ///< Raised only by the member itself.

    bool operator==(const MemberUpdate &) const = default;
};

/// Kinds of membership messages.
enum class MembershipKind {
    Probe,         ///< Asks the receiver for an Ack.
    Ack,           ///< Answers a Probe or IndirectProbe.
    IndirectProbe, ///< Asks the receiver to probe \c target and to pass its Ack on.
};

/// One membership message. Updates and the configuration version travel on all of them.
struct MembershipMessage
{
    MembershipKind kind = MembershipKind::Probe;
    std::uint64_t sequence = 0;
    std::string target;     ///< For IndirectProbe, the member to probe; else empty.
    bool fullState = false; ///< Probe: asks for all members. Ack: carries all members.
    std::vector<MemberUpdate> updates;
    ConfigurationVersion configurationVersion = 0; ///< Newest version that the sender knows.
};

} // namespace shallotwalk
