#pragma once

#include "core/failure.h"
#include "core/keyvalue.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Paths of the published JSON mapping of etcd's version 3 API.
inline constexpr std::string_view storeRangePath = "/v3/kv/range";
inline constexpr std::string_view storeTransactionPath = "/v3/kv/txn";
inline constexpr std::string_view storeWatchPath = "/v3/watch";

/// Answer to a range request.
struct StoreRange
{
    std::int64_t revision = 0; ///< Of the store at the time of the read.
    std::vector<KeyValue> values;
};

/// Answer to a compare-and-swap transaction.
struct StoreSwap
{
    bool succeeded = false;
    std::int64_t revision = 0;     ///< Of the store; after a success also the key's.
    std::vector<KeyValue> current; ///< After a conflict: the key, or nothing if it is absent.
};

/// One message of a watch.
struct StoreWatchMessage
{
    bool created = false;
    bool canceled = false;            ///< The watch is over and must be set up anew.
    std::int64_t compactRevision = 0; ///< Not 0: the start revision has been compacted.
    std::int64_t revision = 0;
    std::vector<KeyValue> changes; ///< A deleted key has an empty value; see \c deleted.
    std::vector<bool> deleted;     ///< For each change.
};

/// Base64 of the standard alphabet with padding. Thread-safe.
std::string encodeBase64(std::string_view bytes);

/// Inverse of encodeBase64(). Fails with ErrorCode::BadRequest. Thread-safe.
Result<std::string> decodeBase64(std::string_view text);

/// The first key after all keys that begin with \a prefix; a zero byte if there is none.
std::string prefixEnd(std::string_view prefix);

/// Body of a range request for \a key, or for all keys that begin with it.
std::string encodeRangeRequest(std::string_view key, bool prefix);

/// Body of a range request for the most recently changed of the keys that begin with \a prefix,
/// without its value.
std::string encodeLatestRequest(std::string_view prefix);

/// Body of a transaction that sets \a key if its mod revision is still \a expectedRevision, and
/// otherwise reads it.
std::string encodeSwapRequest(std::string_view key, std::string_view value,
                              std::int64_t expectedRevision);

/// Body of a watch request for all keys that begin with \a prefix.
std::string encodeWatchRequest(std::string_view prefix, std::int64_t startRevision);

/// Decoders of the answers. They fail with ErrorCode::BadRequest. Thread-safe.
Result<StoreRange> decodeRangeResponse(std::string_view body);
Result<StoreSwap> decodeSwapResponse(std::string_view body);
Result<StoreWatchMessage> decodeWatchMessage(std::string_view line);

} // namespace shallotwalk
