#include "databasegroup.h"

#include <algorithm>

namespace standin {

DatabaseGroup::DatabaseGroup(std::vector<std::string> ids)
{
    for (const auto &id : ids)
        members_[id].id = id;
    members_.at(ids.front()).primary = true;
}

bool DatabaseGroup::commit(const std::string &id, std::vector<LogEntry> writes)
{
    const std::scoped_lock lock(mutex_);
    auto &leader = members_.at(id);
    if (!leader.primary)
        return false;
    for (auto &entry : writes) {
        entry.place = {leader.term, leader.log.size() + 1};
        leader.log.push_back(entry);
        commitTimes_.resize(leader.log.size());
        commitTimes_.back() = std::chrono::steady_clock::now();
    }
    for (auto &[other, member] : members_) {
        if (!member.crashed) {
            member.log = leader.log;
            member.term = leader.term;
        }
    }
    return true;
}

std::size_t DatabaseGroup::appliedCount(const Member &member) const
{
    if (member.primary)
        return member.log.size();
    const auto limit = std::chrono::steady_clock::now() - lag_;
    std::size_t count = 0;
    while (count < member.log.size() && commitTimes_.at(count) <= limit)
        ++count;
    return count;
}

std::pair<std::string, LogPlace> DatabaseGroup::read(const std::string &id, const std::string &item)
{
    const std::scoped_lock lock(mutex_);
    const auto &member = members_.at(id);
    const auto count = appliedCount(member);
    std::string data = "none";
    for (std::size_t i = 0; i < count; ++i) {
        if (member.log[i].item == item)
            data = member.log[i].data;
    }
    return {data, count == 0 ? LogPlace{member.term, 0} : member.log[count - 1].place};
}

LogPlace DatabaseGroup::applied(const std::string &id)
{
    return read(id, {}).second;
}

bool DatabaseGroup::promote(const std::string &id, std::int64_t token)
{
    const std::scoped_lock lock(mutex_);
    const auto found = members_.find(id);
    if (token < highestToken_ || found == members_.end() || found->second.crashed)
        return false;
    highestToken_ = token;
    auto &chosen = found->second;
    if (chosen.primary)
        return true;
    std::uint64_t newest = 0;
    for (auto &[other, member] : members_) {
        newest = std::max(newest, member.term);
        member.primary = false;
    }
    chosen.primary = true;
    chosen.term = newest + 1;
    for (auto &[other, member] : members_) {
        member.term = chosen.term;
        member.log = chosen.log;
    }
    return true;
}

void DatabaseGroup::revive(const std::string &id)
{
    const std::scoped_lock lock(mutex_);
    auto &revived = members_.at(id);
    revived.crashed = false;
    revived.silent = false;
    for (const auto &[other, member] : members_) {
        if (member.primary && !revived.primary) {
            revived.log = member.log;
            revived.term = member.term;
        }
    }
}

void DatabaseGroup::setLag(Milliseconds lag)
{
    const std::scoped_lock lock(mutex_);
    lag_ = lag;
}

void DatabaseGroup::setReads(Milliseconds work, std::size_t rows)
{
    const std::scoped_lock lock(mutex_);
    reads_ = {work, rows};
}

std::pair<Milliseconds, std::size_t> DatabaseGroup::reads()
{
    const std::scoped_lock lock(mutex_);
    return reads_;
}

void DatabaseGroup::noteTenant(const std::string &tenant)
{
    const std::scoped_lock lock(mutex_);
    tenants_.insert(tenant);
}

std::string DatabaseGroup::tenants()
{
    const std::scoped_lock lock(mutex_);
    std::string text;
    for (const auto &tenant : tenants_)
        text += tenant + '\n';
    return text;
}

std::string DatabaseGroup::log()
{
    const std::scoped_lock lock(mutex_);
    std::string text;
    for (const auto &[id, member] : members_) {
        if (!member.primary)
            continue;
        for (const auto &entry : member.log)
            text += entry.statement + ' ' + entry.item + ' ' + entry.data + '\n';
    }
    return text;
}

std::vector<std::string> DatabaseGroup::ids()
{
    const std::scoped_lock lock(mutex_);
    std::vector<std::string> ids;
    for (const auto &[id, member] : members_)
        ids.push_back(id);
    return ids;
}

std::string DatabaseGroup::leader()
{
    const std::scoped_lock lock(mutex_);
    for (const auto &[id, member] : members_) {
        if (member.primary)
            return id;
    }
    return {};
}

} // namespace standin
