#include "feed/feedconversions.h"

#include "supervision/logvalue.h"
#include "wire/vmlistcodec.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

std::vector<KeyValue> encodeVms(std::span<const VmEntry> entries)
{
    std::vector<KeyValue> values;
    values.reserve(entries.size());
    for (const auto &entry : entries)
        values.push_back({entry.role + "/" + entry.vm, encodeVmEntry(entry), 0});
    return values;
}

std::vector<VmEntry> decodeVms(const std::map<std::string, std::string> &values)
{
    std::vector<VmEntry> entries;
    entries.reserve(values.size());
    for (const auto &item : values) {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(entry, decodeVmEntry(item.second));
                entries.push_back(std::move(entry));
                return {};
            },
            [&](const Failure &failure) {
                spdlog::error("event=feed_vm_ignored key={} error={}", logValue(item.first),
                              logValue(failure.message));
            },
            [] {});
    }
    return entries;
}

std::vector<FeedChange> changesOf(const StoreChanged &message)
{
    std::vector<FeedChange> changes;
    changes.reserve(message.values.size());
    for (std::size_t i = 0; i < message.values.size(); ++i) {
        const auto &value = message.values[i];
        changes.push_back(
            {{value.key, value.value, message.revisions.at(i)}, value.modRevision == 0});
    }
    return changes;
}

std::uint64_t bytesOf(const FeedPage &page)
{
    std::uint64_t bytes = 0;
    for (const auto &change : page.changes)
        bytes += change.entry.key.size() + change.entry.value.size();
    return bytes;
}

} // namespace shallotwalk
