#pragma once

#include "core/core.h"
#include "databases/databaseactor.h"
#include "databases/messages.h"
#include "databases/ownershipmessages.h"
#include "registry/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <memory>

namespace shallotwalk {

/// What an ownership actor is started with.
struct OwnershipContext
{
    std::string vm; ///< This proxy.
    std::string pool;
    std::shared_ptr<const Tables> tables;
    caf::actor manager; ///< Owns the promise table; takes PromiseRequest and RecordRead.
    caf::actor store;   ///< Takes StoreRead and StoreCompareAndSwap.
    caf::actor peers;   ///< Takes SendPromiseRequest.
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<BackendSpawner> spawner;
    OwnershipSettings ownership;
    DatabaseSettings database;
};

/// Acquires, renews, hands over and loses the ownership of one database, and runs its
/// DatabaseActor while this proxy serves it. If that actor fails, this one fails too: its
/// successor raises the epoch before it serves again.
class OwnershipActor : public caf::event_based_actor
{
public:
    OwnershipActor(caf::actor_config &config, OwnershipContext context);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    /// Executes \a actions and what is due at once, and sets the timer.
    void update(const OwnershipActions &actions);
    void scheduleTick();
    void run(const OwnershipActions &actions);
    void perform(const OwnershipAction &action);
    void swapRecord(const SwapRecord &action);
    void readRecord();
    void handleRead(const StoreReadReply &reply);
    void askPromise(const AskPromise &action);
    void startDatabase(Epoch epoch);
    void stopDatabase(StopReason reason);
    void extendLease();
    void changeConfirmation(const ChangeConfirmation &message);
    void proposeConfirmation();
    void reviewConfirmation();
    bool confirmationMayChange() const;
    void updateTables(const PoolChanged &message);
    void handleDown(const caf::down_msg &message);
    void drain();
    caf::result<caf::message> execute(ExecuteStatement &message);
    caf::result<StateDump> dump();
    TimePoint now() const { return context_.clock->now(); }

    OwnershipContext context_;
    OwnershipMachine machine_;
    std::vector<std::string> leaving_; ///< Backend servers that are leaving.
    caf::actor database_;
    Epoch servedEpoch_ = 0; ///< Epoch of database_.
    TimePoint reportedLease_;
    TimePoint timerDue_ = TimePoint::max();      ///< Of the timer that is set.
    std::uint64_t lastTimer_ = 0;                ///< Earlier timers have no effect.
    std::optional<ConfirmationRecord> proposed_; ///< Confirmation set to be written.
    std::int64_t proposedRevision_ = 0; ///< Revision that the proposal replaces; 0: not yet sent.
    bool restartDatabase_ = false;      ///< The pool's servers changed; the old actor is draining.
    bool draining_ = false;
};

} // namespace shallotwalk
