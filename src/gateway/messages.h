#pragma once

#include "gateway/protocols.h"
#include "supervision/messages.h"

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// Asks an HttpCaller to carry out a call. The answer is an HttpCallResult.
struct HttpCallRequest
{
    HttpCall call;
};

/// Outcome of an HttpCallRequest.
struct HttpCallResult
{
    HttpResponse response; ///< Status 0: no answer came; the call may have been carried out.
    std::string error;     ///< Why no answer came.
};

/// The directory's present contents, sent to its subscriber at each change and on request.
struct DirectoryChanged
{
    std::shared_ptr<const OperatorConfiguration> configuration; ///< Null: none was read yet.
    std::shared_ptr<const std::vector<ServerRegistration>> servers;
    std::size_t proxies = 1; ///< Number of proxies in the fleet, this one included.
    /// This proxy's part in watching the primary of each group.
    std::map<std::string, WitnessRole, std::less<>> roles;
};

/// The proxies of the fleet, this one included.
struct FleetChanged
{
    std::vector<FleetMember> members;
};

/// All items of the store, from which followers are brought up to date.
struct FeedLoaded
{
    std::vector<KeyValue> items;
    StoreRevision revision;
};

/// Changes of the store up to a revision, in the store's order.
struct FeedChanged
{
    std::vector<FeedChange> changes;
    StoreRevision revision;
};

/// Whether this proxy's watch of the store is established.
struct FeedConnected
{
    bool connected = false;
};

/// This proxy no longer watches the store, so followers must ask another one.
struct FeedStopped
{
};

/// A follower asks for what is new in the store. The answer is a FeedAnswered, which may be held
/// until there is something new.
struct FeedAsked
{
    FeedRequest request;
};

/// The answer to a FeedAsked.
struct FeedAnswered
{
    FeedReply reply;
};

/// A primary has told this proxy the position of its log, for the other proxies.
struct WatermarkObserved
{
    SharedWatermark watermark;
};

/// Positions of primaries that other proxies have passed on, with times of this proxy's clock.
struct WatermarksHeard
{
    std::vector<SharedWatermark> watermarks;
};

/// Asks the directory to send a DirectoryChanged to its subscriber.
struct DirectoryRequest
{
};

/// A promotion has been recorded in the store, by this proxy or another.
struct PromotionRecorded
{
    PromotionRecord record;
};

/// Tells the directory whether this proxy finds a group's primary unable to serve.
struct ReportSuspicion
{
    std::string service;
    std::string server; ///< Empty: no primary is known.
    bool suspected = false;
};

/// The other witnesses that find the primary of a group unable to serve. Witnesses are the proxies
/// whose view of the primary counts towards a promotion.
struct SuspicionsChanged
{
    std::string service;
    std::vector<std::string> servers; ///< Suspected primaries, one entry for each such witness.
    WitnessRole role;                 ///< This proxy's part.
};

/// Asks the promotion actor to have a server promoted.
struct OrderPromotion
{
    PromotionChoice choice;
    /// Revision of the newest promotion record known when the choice was made; number 0: none. If
    /// the store holds a newer record, the chosen server's log may still contain transactions that
    /// the newer promotion rolled back.
    StoreRevision recordRevision;
    std::uint64_t recordNumber = 0; ///< For the order's record; see PromotionRecord::number.
};

/// Asks the group of a choice that has been recorded whether the choice still holds. The promotion
/// actor gets a PromotionConfirmed.
struct ConfirmPromotion
{
    PromotionChoice choice;
    std::int64_t token = 0; ///< Of the record.
};

/// The answer to a ConfirmPromotion.
struct PromotionConfirmed
{
    std::string service;
    std::int64_t token = 0;
    bool confirmed = false;
};

/// The promotion that an OrderPromotion asked for can't be carried out.
struct PromotionFailed
{
    PromotionChoice choice;
};

/// The servers of one group, and how this proxy may use them.
struct GroupConfigured
{
    std::vector<ServerRegistration> servers;
    ConnectionAllotment connections; ///< Connections to each server.
    WitnessRole role;
    Duration transactionIdleLimit{0};
    /// Number of replicas that must receive a commit before it is answered.
    std::uint32_t confirmReplicas = 0;
    bool connectionsPerTeam = false; ///< Each connection runs statements of one team only.
};

/// What sessions need to find the route and the group actor of a statement.
struct SessionRouting
{
    std::shared_ptr<const Router> router;                  ///< Null: no configuration was read yet.
    std::map<std::string, caf::actor, std::less<>> groups; ///< Group actors by pool.
};

/// Gives the sessions their new routing.
struct RoutingChanged
{
    std::shared_ptr<const SessionRouting> routing;
};

/// Asks the GroupsManager to publish a RoutingChanged.
struct RoutingRequest
{
};

/// Asks a group to run a statement. Its sender gets a StatementFinished.
struct RunStatement
{
    GroupRequest request;
};

/// The answer to a RunStatement.
struct StatementFinished
{
    RequestNumber number = 0;
    GroupAnswer answer;
};

/// Tells a group to roll back a session's transaction and drop its pending statement.
struct EndTransaction
{
    SessionNumber session = 0;
};

/// The quotas of the teams that have one.
struct QuotasChanged
{
    std::map<std::string, Quota, std::less<>> quotas;
};

/// Asks whether an operation of a team with a quota may start. Its sender gets an
/// OperationAdmitted.
struct AdmitOperation
{
    OperationNumber number = 0;
    std::string team;
};

/// The answer to an AdmitOperation.
struct OperationAdmitted
{
    OperationNumber number = 0;
    QuotaVerdict verdict = QuotaVerdict::Admitted;
};

/// Tells the sessions that the operations which await an OperationAdmitted won't get one.
struct AdmissionsLost
{
};

/// Tells whether one group, or any group, can run statements.
struct ServingChanged
{
    std::string pool; ///< Empty: any group.
    bool serving = false;
};

/// Tells the sessions to end as soon as they are idle, that is, after a transaction in progress.
struct CloseIdleSessions
{
};

/// Tells the sessions to end, even within a transaction, as soon as no statement is in progress.
struct CloseAllSessions
{
};

/// Tells the sessions to answer the statement in progress without waiting for its server, and to
/// end.
struct AbandonStatements
{
};

/// Tells the node that all sessions have ended after CloseIdleSessions.
struct SessionsClosed
{
};

/// Tells the directory to end the lease of this proxy in the store, so that it leaves the fleet,
/// and the quotas to allocate none any more.
struct LeaveFleet
{
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::HttpCallRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::HttpCallResult)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DirectoryChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FleetChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedLoaded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedConnected)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedStopped)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedAsked)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::FeedAnswered)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::WatermarkObserved)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::WatermarksHeard)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromotionRecorded)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ReportSuspicion)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SuspicionsChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::OrderPromotion)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ConfirmPromotion)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromotionConfirmed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PromotionFailed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::GroupConfigured)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DirectoryRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RoutingRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RoutingChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RunStatement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StatementFinished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::EndTransaction)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::QuotasChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::AdmitOperation)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::OperationAdmitted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::AdmissionsLost)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ServingChanged)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CloseIdleSessions)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::CloseAllSessions)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::AbandonStatements)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::SessionsClosed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::LeaveFleet)
