#pragma once

#include "core/core.h"
#include "databases/connectionpool.h"
#include "databases/databasecontext.h"
#include "databases/messages.h"
#include "databases/ownershipmessages.h"
#include "databases/poolview.h"
#include "databases/requesttable.h"
#include "databases/servertable.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <memory>
#include <string_view>

namespace shallotwalk {

/// Serves one database while this proxy owns it: admits requests, places them on backend servers,
/// acknowledges writes and promotes replicas. Owns the connections, the open transactions and the
/// requests in progress. Messages: ExecuteStatement, DrainRequest, those of the ownership actor
/// and those of its connections and monitors.
class DatabaseActor : public caf::event_based_actor
{
public:
    /// \pre The tables hold the pool.
    DatabaseActor(caf::actor_config &config, DatabaseContext context);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    using Stage = RequestTable::Stage;

    void start();
    void startMonitor(ServerTable::Server &server);
    caf::result<StatementReply> execute(StatementRequest request);
    void executeInTransaction(WorkId id);
    void runOn(ConnectionId connection, WorkId id);

    void pump();
    void place(WorkId id);
    void placeRead(WorkId id);
    void serveWaiting(ServerTable::Server &server);
    void openConnection(const BackendServer &server, ConnectionId id);

    void handleFinished(RequestFinished &message);
    /// Ends, begins or continues the transaction of a finished request, or frees its connection.
    void settleTransaction(const RequestTable::Entry &entry, RequestFinished &message);
    bool isReplica(std::string_view vm) const;
    void finishInTransaction(const StatementRequest &request, const RequestFinished &message);
    void beginTransaction(const StatementRequest &request, RequestFinished &message);
    void answer(RequestTable::Entry &entry, RequestFinished &message);
    void handleOpened(ConnectionId id);
    void handleConnectionFailed(const ConnectionFailed &message);
    void handleConnectionDown(ConnectionId id);
    void handleDown(const caf::down_msg &message);
    void abortTransactions(ConnectionId id);
    void closeConnections(const CloseConnections &action);
    /// Places the request that runs on \a id again if it is a read outside of transactions.
    bool placeAgain(ConnectionId id);
    /// Ends the transactions on \a id and answers the request that runs there.
    void abandonRequest(ConnectionId id, std::string_view reason);

    void handleSample(const ServerSample &message);
    void sampleForConfirmation();
    void run(GroupActions actions);
    /// Executes the actions of an event of the group, and places the requests that it lets run.
    void update(GroupActions actions);
    void perform(const GroupAction &action);
    void changeConfirmation(const SwapConfirmationSet &action);

    void tick();
    /// Time of the next tick() if nothing else happens.
    TimePoint nextDue(TimePoint now) const;
    /// Starts the timer anew if the next tick is due earlier.
    void scheduleTick();
    void expireRunning(TimePoint now);
    void closeIdleTransactions(TimePoint now);
    void drain();
    bool isLong(const StatementRequest &request) const;
    void quitIfDrained();
    void endLease();
    void updateTables(std::shared_ptr<const Tables> tables);

    void finish(WorkId id, StatementReply reply);
    void finishWithFailure(WorkId id, ErrorCode code, Verdict verdict, std::string message);
    Capacity capacity() const;
    const Pool &pool() const { return view_.pool(); }
    TimePoint now() const { return context_.clock->now(); }
    StateDump dump() const;

    DatabaseContext context_;
    PoolView view_;
    DatabaseGroup group_;
    TransactionTable transactions_;
    std::unique_ptr<ReplicaPolicy> replicaPolicy_;
    RequestTable requests_;
    ConnectionPool connections_;
    ServerTable servers_;
    TimePoint leaseEnd_;
    TimePoint pumpedAt_; ///< Of the last pump().
    TimePoint tickDue_ = TimePoint::max();
    std::uint64_t timer_ = 0; ///< Number of the latest timer; earlier ones have no effect.
    bool closing_ = false;    ///< Transactions and long work are refused.
    bool draining_ = false;   ///< All new work is refused.
};

} // namespace shallotwalk
