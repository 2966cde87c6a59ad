#pragma once

#include "core/core.h"
#include "frontend/messages.h"
#include "frontend/metrics.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <unordered_map>

namespace shallotwalk {

/// What the dispatcher needs from the rest of the process.
struct DispatcherContext
{
    std::string vm;           ///< This proxy.
    caf::actor databases;     ///< Takes ExecuteStatement.
    caf::actor peers;         ///< Takes ForwardStatement.
    caf::actor configuration; ///< Takes SubscribeTables.
    std::shared_ptr<const Clock> clock;
    DispatchSettings settings;
    std::size_t requestLimit = 20000; ///< Requests in progress; more are refused.
};

/// Routes each request, sends it to the owner of its database and repeats attempts that did not
/// run. Owns the requests in progress. Messages: DispatchStatement, TablesChanged, OwnerUpdate.
class Dispatcher : public caf::event_based_actor
{
public:
    Dispatcher(caf::actor_config &config, DispatcherContext context);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    struct Pending
    {
        StatementRequest request;
        caf::response_promise promise;
        DispatchProgress progress;
        TimePoint arrival;
        bool waitsForOwner = false;
        bool inFlight = false;   ///< An attempt has no reply yet.
        unsigned attempts = 0;   ///< A reply to an earlier one is ignored.
        std::uint64_t retry = 0; ///< Number of the timer that ends a backoff; 0 outside of one.
    };
    using Requests = std::unordered_map<std::uint64_t, Pending>;

    caf::result<DispatchReply> accept(StatementRequest request);
    /// Why \a request is refused; empty once it is routed.
    std::optional<Failure> refusal(StatementRequest &request, TimePoint now) const;
    void attempt(std::uint64_t id);
    void sendAttempt(std::uint64_t id, const caf::actor &destination, bool local,
                     std::string_view vm);
    bool isCurrent(std::uint64_t id, unsigned serial) const;
    void handleReply(std::uint64_t id, StatementReply reply);
    void record(const StatementRequest &request, const StatementReply &reply, TimePoint arrival);
    void deliver(std::uint64_t id, StatementReply reply);
    void updateOwner(std::string_view database, Epoch epoch, std::string_view owner);
    void expireRequests();
    void scheduleExpiry();
    MetricsText metrics() const;
    StateDump dump() const;

    DispatcherContext context_;
    DispatchPolicy policy_;
    OwnerDirectory owners_;
    std::unique_ptr<Router> router_;
    Requests requests_;
    Metrics metrics_;
    std::uint64_t nextId_ = 1;
    std::uint64_t refused_ = 0;
    std::uint64_t retries_ = 0; ///< Also the number of the last backoff.
    std::size_t waiting_ = 0;
    bool expiryScheduled_ = false;
    bool draining_ = false;
};

} // namespace shallotwalk
