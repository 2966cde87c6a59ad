#pragma once

#include "configuration/messages.h"
#include "core/core.h"
#include "databases/ownershipactor.h"
#include "peers/messages.h"
#include "supervision/supervision.h"

#include <caf/event_based_actor.hpp>

#include <map>
#include <memory>
#include <string_view>
#include <unordered_set>

namespace shallotwalk {

/// What the databases manager needs from the rest of the process.
struct DatabasesContext
{
    std::string vm;           ///< This proxy.
    caf::actor configuration; ///< Takes SubscribeTables.
    caf::actor storeWatcher;  ///< Takes StoreSubscribe.
    caf::actor store;
    caf::actor vmList;  ///< Takes SubscribeVmList.
    caf::actor members; ///< Takes SubscribeMembers.
    caf::actor peers;
    caf::actor dispatcher; ///< Takes OwnerUpdate.
    std::shared_ptr<const Clock> clock;
    std::shared_ptr<BackendSpawner> spawner;
    OwnershipSettings ownership;
    DatabaseSettings database;
    RestartRule restarts;
};

/// Decides for which databases this proxy is a candidate, runs an OwnershipActor for each under a
/// supervisor of its own, and owns the promise table and the view of all owner records.
class DatabasesManager : public caf::event_based_actor
{
public:
    DatabasesManager(caf::actor_config &config, DatabasesContext context);

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    void subscribe();
    void updateTables(std::shared_ptr<const Tables> tables);
    void updateRecords(const StoreChanged &message);
    void updateRecord(const KeyValue &value);
    void updateMembers(const std::vector<Member> &members);
    void updateVms(const std::vector<VmEntry> &entries);
    void updateLeaving();
    void scheduleLeaving();
    /// Ranks the live members that aren't leaving again.
    void rankMembers();
    void review();
    void reviewPool(const std::string &pool);
    bool isCandidate(std::string_view pool) const;
    std::vector<std::string> ranking(std::string_view pool) const;
    void startOwnership(const std::string &pool);
    void handleStarted(const ChildStarted &message);
    PromiseReply answerPromise(const PromiseRequest &request);
    caf::result<caf::message> execute(ExecuteStatement &message);
    MetricsText metrics() const;
    caf::result<StateDump> dump();
    TimePoint now() const { return context_.clock->now(); }

    struct Record
    {
        OwnerRecord record;
        std::int64_t revision = 0;
    };

    DatabasesContext context_;
    PromiseTable promises_;
    LeavingServers leavingServers_;
    std::shared_ptr<const Tables> tables_;
    std::unordered_set<std::string_view> pools_; ///< Names in tables_.
    std::vector<CandidateVm> live_;
    std::vector<CandidateVm> members_; ///< Those of live_ that aren't leaving.
    std::vector<std::string> leaving_;
    std::map<std::string, Record, std::less<>> records_;
    std::map<std::string, caf::actor, std::less<>> ownerships_; ///< Invalid until started.
    caf::actor supervisor_;
    TimePoint leavingDue_ = TimePoint::max(); ///< Of the next review of leaving_.
    bool draining_ = false;
};

} // namespace shallotwalk
