#include "core/router.h"

#include <boost/leaf/error.hpp>

#include <algorithm>

namespace shallotwalk {

namespace {

constexpr std::string_view wildcard = "*";

bool names(const Route &route, std::string_view caller)
{
    return std::find(route.callers.begin(), route.callers.end(), caller) != route.callers.end();
}

bool needsRequestKey(const Route &route, const StatementRequest &request)
{
    return route.requireRequestKey && request.operation == Operation::Statement
           && request.access == Access::Write && !request.transaction && !request.requestKey;
}

} // namespace

Router::Router(std::shared_ptr<const Tables> tables)
    : tables_(std::move(tables))
{
    for (const auto &route : tables_->routes)
        routes_[route.service][route.database].push_back(&route);
}

const Route *Router::find(const StatementRequest &request) const
{
    const auto service = routes_.find(request.service);
    if (service == routes_.end())
        return nullptr;
    const auto exact = service->second.find(request.database);
    const auto general = service->second.find(wildcard);
    // A named caller goes before a named database.
    for (const std::string_view caller : {std::string_view(request.caller), wildcard}) {
        for (const auto &routes : {exact, general}) {
            if (routes == service->second.end())
                continue;
            const auto &list = routes->second;
            const auto found = std::find_if(list.begin(), list.end(), [caller](const Route *route) {
                return names(*route, caller);
            });
            if (found != list.end())
                return *found;
        }
    }
    return nullptr;
}

Result<void> Router::route(StatementRequest &request, TimePoint now) const
{
    const Route *best = find(request);
    if (best == nullptr) {
        return boost::leaf::new_error(Failure{ErrorCode::NoRoute, Verdict::DidNotRun,
                                              "no route for caller \"" + request.caller
                                                  + "\" to service \"" + request.service
                                                  + "\", database \"" + request.database + "\""});
    }
    if (needsRequestKey(*best, request)) {
        return boost::leaf::new_error(
            Failure{ErrorCode::RequestKeyRequired, Verdict::DidNotRun,
                    "writes on route \"" + best->name + "\" need an Idempotency-Key header"});
    }
    request.route = best->name;
    request.pool = best->pool;
    request.deadline = std::min(request.deadline, now + best->timeout);
    return {};
}

} // namespace shallotwalk
