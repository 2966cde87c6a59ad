#pragma once

#include "core/tableshead.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// Sent to subscribers whenever a higher version of the tables comes into force here.
struct TablesChanged
{
    std::shared_ptr<const Tables> tables;
};

/// Asks the configuration actor for TablesChanged messages, beginning with the present tables.
struct SubscribeTables
{
    caf::actor subscriber;
};

/// Asks for the tables in force. The answer is a TablesChanged; before any are loaded, tables of
/// version 0.
struct CurrentTablesRequest
{
};

/// Proposes new tables in place of version \c expected. The answer is an ApplyOutcome.
struct ApplyTables
{
    ConfigurationVersion expected = 0;
    Tables tables;
};

/// What became of a proposed change.
enum class ApplyStatus {
    Accepted,
    Conflict, ///< Another version is in force; it is returned.
    Invalid,
    Unknown, ///< The store didn't answer; the change may take effect.
};

/// Answer to ApplyTables.
struct ApplyOutcome
{
    ApplyStatus status = ApplyStatus::Unknown;
    ConfigurationVersion version = 0;      ///< In force after Accepted; current after Conflict.
    std::vector<TableProblem> problems;    ///< For Invalid.
    std::shared_ptr<const Tables> current; ///< For Conflict.
};

/// Asks the proxy on \c vm for its head. In each of these four messages \c vm is the other side:
/// the receiver when sent to the peers actor, the sender when received from it.
struct PeerHeadRequest
{
    std::string vm;
};

/// Answer to PeerHeadRequest.
struct PeerHead
{
    std::string vm;
    bool ready = false; ///< False: the sender knows no version and doesn't count as an answer.
    TablesHead head;
};

/// Asks the proxy on \c vm for a part of the tables.
struct PeerPartRequest
{
    std::string vm;
    std::string hash;
};

/// Answer to PeerPartRequest.
struct PeerPart
{
    std::string vm;
    std::string hash;
    bool found = false;
    std::string content;
};

/// Sets the known proxies: those of the settings and of the list of VMs.
struct SetKnownProxies
{
    std::vector<std::string> vms;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerHeadRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerHead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerPartRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PeerPart)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SetKnownProxies)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::TablesChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SubscribeTables)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CurrentTablesRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ApplyTables)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ApplyOutcome)
