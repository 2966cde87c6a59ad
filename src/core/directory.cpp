#include "core/directory.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace shallotwalk {

Directory::Directory(const DirectorySettings &settings)
    : settings_(settings)
{
}

bool Directory::configurationRead(OperatorConfiguration configuration)
{
    if (configuration_ && configuration.tables->version <= configuration_->tables->version)
        return false;
    configuration_ = std::move(configuration);
    return true;
}

bool Directory::serverSeen(const ServerRegistration &server)
{
    auto &entry = servers_[server.id];
    const bool changed = entry.value != server || entry.goneSince.has_value();
    entry = {server, true, std::nullopt};
    return changed;
}

bool Directory::serverGone(std::string_view id, TimePoint now)
{
    return remove(servers_, id, now);
}

void Directory::serverInvalid(std::string_view id)
{
    const auto found = servers_.find(id);
    if (found != servers_.end())
        found->second.listed = true;
}

bool Directory::proxySeen(const FleetMember &proxy)
{
    const auto [entry, added] = proxies_.try_emplace(proxy.vm);
    const bool changed = added || entry->second.value != proxy;
    entry->second = {proxy, true, std::nullopt};
    return changed;
}

bool Directory::proxyGone(std::string_view name, TimePoint now)
{
    return remove(proxies_, name, now);
}

const PromotionRecord &Directory::promotionSeen(const PromotionRecord &record)
{
    const auto [found, added] =
        promotions_.try_emplace(record.service, KnownPromotion{record, false});
    auto &[known, lost] = found->second;
    if (!added && known.revision < record.revision)
        lost = !mergePromotion(record, known) && !isSameOrder(record, known);
    return known;
}

const PromotionRecord *Directory::promotionGone(std::string_view service, StoreRevision revision)
{
    const auto found = promotions_.find(service);
    if (found == promotions_.end())
        return nullptr;
    auto &[known, lost] = found->second;
    if (known.revision < revision) {
        known.revision = revision;
        lost = true;
    }
    return &known;
}

std::vector<PromotionRecord> Directory::lostPromotions() const
{
    std::vector<PromotionRecord> records;
    for (const auto &[service, promotion] : promotions_) {
        if (promotion.lost)
            records.push_back(promotion.record);
    }
    return records;
}

std::vector<PromotionRecord> Directory::promotions() const
{
    std::vector<PromotionRecord> records;
    records.reserve(promotions_.size());
    for (const auto &[service, promotion] : promotions_)
        records.push_back(promotion.record);
    return records;
}

void Directory::suspicionSeen(std::string_view service, std::string_view vm,
                              std::string_view server)
{
    suspicions_[std::string(service)].insert_or_assign(std::string(vm), std::string(server));
}

void Directory::suspicionGone(std::string_view service, std::string_view vm)
{
    const auto found = suspicions_.find(service);
    if (found == suspicions_.end())
        return;
    const auto entry = found->second.find(vm);
    if (entry != found->second.end())
        found->second.erase(entry);
}

std::vector<std::string> Directory::suspicions(std::string_view service,
                                               std::string_view self) const
{
    std::vector<std::string> servers;
    const auto found = suspicions_.find(service);
    if (found == suspicions_.end())
        return servers;
    const auto counted = witnesses(service);
    for (const auto &[vm, server] : found->second) {
        if (vm != self && std::find(counted.begin(), counted.end(), vm) != counted.end())
            servers.push_back(server);
    }
    return servers;
}

std::vector<std::string_view> Directory::witnesses(std::string_view service) const
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    for (const auto &[name, entry] : proxies_)
        ranked.emplace_back(rendezvousWeight(service, name), name);
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), settings_.witnessCount));
    std::vector<std::string_view> names;
    names.reserve(ranked.size());
    for (const auto &[weight, name] : ranked)
        names.push_back(name);
    return names;
}

WitnessRole Directory::witnessRole(std::string_view service, std::string_view vm) const
{
    const auto names = witnesses(service);
    if (names.empty())
        return {};
    const auto found = std::find(names.begin(), names.end(), vm);
    return {names.size(), found != names.end(), static_cast<std::size_t>(found - names.begin())};
}

std::vector<FleetMember> Directory::proxies() const
{
    std::vector<FleetMember> list;
    list.reserve(proxies_.size());
    for (const auto &[name, entry] : proxies_)
        list.push_back(entry.value);
    return list;
}

std::set<std::string, std::less<>> Directory::services() const
{
    std::set<std::string, std::less<>> services;
    for (const auto &[id, entry] : servers_)
        services.insert(entry.value.service);
    return services;
}

bool Directory::holdsMissingEntries(TimePoint now) const
{
    return failingSince_ || now - recoveredAt_ < settings_.holdAfterOutage;
}

template<class Value>
bool Directory::remove(Entries<Value> &entries, std::string_view name, TimePoint now)
{
    const auto found = entries.find(name);
    if (found == entries.end())
        return false;
    if (!holdsMissingEntries(now)) {
        entries.erase(found);
        return true;
    }
    if (!found->second.goneSince)
        found->second.goneSince = now;
    return false;
}

template<class Value>
bool Directory::endListing(Entries<Value> &entries, TimePoint now)
{
    std::vector<std::string> missing;
    for (const auto &[name, entry] : entries) {
        if (!entry.listed)
            missing.push_back(name);
    }
    bool changed = false;
    for (const auto &name : missing)
        changed = remove(entries, name, now) || changed;
    return changed;
}

template<class Value>
bool Directory::expire(Entries<Value> &entries, TimePoint now)
{
    if (holdsMissingEntries(now))
        return false;
    return std::erase_if(entries,
                         [](const auto &entry) { return entry.second.goneSince.has_value(); })
           > 0;
}

void Directory::beginListing()
{
    for (auto &[id, entry] : servers_)
        entry.listed = false;
    // Proxies repeat their suspicions while these last, so none needs to be kept across a listing.
    for (auto &[service, entries] : suspicions_)
        entries.clear();
    for (auto &[name, entry] : proxies_)
        entry.listed = false;
}

bool Directory::endListing(TimePoint now)
{
    const bool servers = endListing(servers_, now);
    return endListing(proxies_, now) || servers;
}

void Directory::storeFailed(TimePoint now)
{
    if (!failingSince_)
        failingSince_ = now;
}

void Directory::storeAnswered(TimePoint now)
{
    if (failingSince_)
        recoveredAt_ = now;
    failingSince_.reset();
}

bool Directory::expire(TimePoint now)
{
    const bool servers = expire(servers_, now);
    return expire(proxies_, now) || servers;
}

std::vector<ServerRegistration> Directory::servers() const
{
    std::vector<ServerRegistration> list;
    for (const auto &[id, entry] : servers_)
        list.push_back(entry.value);
    return list;
}

std::size_t Directory::heldCount() const
{
    const auto isHeld = [](const auto &entry) { return entry.second.goneSince.has_value(); };
    return std::count_if(servers_.begin(), servers_.end(), isHeld)
           + std::count_if(proxies_.begin(), proxies_.end(), isHeld);
}

} // namespace shallotwalk
