#pragma once

#include "core/feedmessage.h"
#include "registry/messages.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace shallotwalk {

/// The list of VMs as keys (role and VM) and encoded values. Thread-safe.
std::vector<KeyValue> encodeVms(std::span<const VmEntry> entries);

/// Inverse of encodeVms(), in order of the keys. Entries that can't be decoded are logged and left
/// out. Thread-safe.
std::vector<VmEntry> decodeVms(const std::map<std::string, std::string> &values);

/// The changes in a message of the store watcher. Thread-safe.
/// \pre The message is not complete.
std::vector<FeedChange> changesOf(const StoreChanged &message);

/// Bytes of the keys and values. Thread-safe.
std::uint64_t bytesOf(const FeedPage &page);

} // namespace shallotwalk
