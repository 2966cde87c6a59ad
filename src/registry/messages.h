#pragma once

#include "core/keyvalue.h"
#include "core/time.h"
#include "core/vmentry.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace shallotwalk {

/// Reads one key, or all keys that begin with it. The answer is a StoreReadReply.
struct StoreRead
{
    std::string key;
    bool prefix = false;
    /// If set, a call that hasn't been sent by then fails without being sent.
    TimePoint deadline{};
};

/// Answer to StoreRead. With \c ok false the store didn't answer.
struct StoreReadReply
{
    bool ok = false;
    std::string error;
    std::int64_t revision = 0;
    std::vector<KeyValue> values;
};

/// Sets a key if its last change is still \c expectedRevision (0: the key is absent).
/// The answer is a StoreCompareAndSwapReply.
struct StoreCompareAndSwap
{
    std::string key;
    std::string value;
    std::int64_t expectedRevision = 0;
    /// If set, a swap that hasn't been sent by then is refused without being sent.
    TimePoint deadline{};
};

/// What became of a compare-and-swap.
enum class SwapStatus {
    Swapped,
    Conflict, ///< Another revision is in place; \c current holds it.
    Unknown,  ///< No answer: the swap may have taken or may still take effect.
    Refused,  ///< Not sent, or rejected by the store: it has no effect and won't have one.
};

/// Answer to StoreCompareAndSwap.
struct StoreCompareAndSwapReply
{
    SwapStatus status = SwapStatus::Unknown;
    std::int64_t revision = 0;
    std::optional<KeyValue> current;
    std::string error;
};

/// Asks the store watcher, or the feed, for StoreChanged messages about a prefix: the present keys
/// first. A prefix without subscribers is not watched.
struct StoreSubscribe
{
    std::string prefix;
    caf::actor subscriber;
};

/// Ends what StoreSubscribe has begun.
struct StoreUnsubscribe
{
    std::string prefix;
    caf::actor subscriber;
};

/// Keys under a watched prefix have changed, or are reported for the first time.
struct StoreChanged
{
    std::string prefix;
    std::vector<KeyValue> values; ///< A deleted key has an empty value and mod revision 0.
    bool complete = false;        ///< These are all present keys, in answer to StoreSubscribe.
    std::int64_t revision = 0;    ///< Store revision up to which the prefix is known.
    /// Of each change, also of a deletion; unused if complete.
    std::vector<std::int64_t> revisions = {};
};

/// Sent to the subscribers of a prefix when its watch is established or lost, and on subscribing.
/// While it is lost, changes are not reported.
struct StoreWatchStatus
{
    std::string prefix;
    bool connected = false;
    std::string error; ///< Why the watch was lost.
};

/// Asks the poller of the list of VMs, or the feed, for VmListChanged messages. Without subscribers
/// the list is not read.
struct SubscribeVmList
{
    caf::actor subscriber;
};

/// Ends what SubscribeVmList has begun.
struct UnsubscribeVmList
{
    caf::actor subscriber;
};

/// The list of VMs as last read; sent on each change.
struct VmListChanged
{
    std::vector<VmEntry> entries;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreRead)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreReadReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreCompareAndSwap)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreCompareAndSwapReply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreSubscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreUnsubscribe)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StoreWatchStatus)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SubscribeVmList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::UnsubscribeVmList)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::VmListChanged)
