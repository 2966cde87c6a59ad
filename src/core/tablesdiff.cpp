#include "core/tablesdiff.h"

#include <string_view>

namespace shallotwalk {

namespace {

template<class Row>
void diffRows(std::string_view table, const std::vector<Row> &before, const std::vector<Row> &after,
              const Row *(Tables::*find)(std::string_view) const, const Tables &beforeTables,
              const Tables &afterTables, std::vector<RowChange> &changes)
{
    for (const auto &row : after) {
        const auto *old = (beforeTables.*find)(row.name);
        if (old == nullptr)
            changes.push_back({std::string(table), row.name, RowChange::Kind::Added});
        else if (*old != row)
            changes.push_back({std::string(table), row.name, RowChange::Kind::Changed});
    }
    for (const auto &row : before) {
        if ((afterTables.*find)(row.name) == nullptr)
            changes.push_back({std::string(table), row.name, RowChange::Kind::Removed});
    }
}

} // namespace

std::vector<RowChange> diffTables(const Tables &before, const Tables &after)
{
    std::vector<RowChange> changes;
    diffRows("routes", before.routes, after.routes, &Tables::findRoute, before, after, changes);
    diffRows("pools", before.pools, after.pools, &Tables::findPool, before, after, changes);
    return changes;
}

} // namespace shallotwalk
