#include "databases/poolview.h"

namespace shallotwalk {

PoolView::PoolView(std::shared_ptr<const Tables> tables, std::string_view pool)
    : tables_(std::move(tables))
    , pool_(tables_->findPool(pool))
{
    for (const auto &route : tables_->routes) {
        if (route.pool == pool)
            routes_.emplace(route.name, &route);
    }
}

const Route *PoolView::findRoute(std::string_view name) const
{
    const auto found = routes_.find(name);
    return found == routes_.end() ? nullptr : found->second;
}

} // namespace shallotwalk
