#include "frontend/callerservice.h"

#include "frontend/messages.h"
#include "frontend/requestlog.h"

#include <boost/leaf/handle_errors.hpp>

namespace shallotwalk {

CallerService::CallerService(caf::actor dispatcher, std::shared_ptr<const Clock> clock,
                             std::shared_ptr<const SessionCodec> sessions)
    : dispatcher_(std::move(dispatcher))
    , clock_(std::move(clock))
    , sessions_(std::move(sessions))
{
}

void CallerService::serve(const HttpRequest &request, std::string_view requestId,
                          caf::io::broker &connection, Respond respond) const
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(statement, decodeStatementRequest(request, *sessions_, clock_->now()));
            if (statement.requestId.empty())
                statement.requestId = requestId;
            dispatch(std::move(statement), connection, respond);
            return {};
        },
        [&](const Failure &failure) {
            StatementRequest refused;
            refused.requestId = request.header("Shallotwalk-Request-Id").value_or(requestId);
            refused.caller = request.header("Shallotwalk-Caller").value_or("");
            logRequest(refused, &failure, Duration::zero());
            respond(encodeFailure(failure, refused.requestId));
        },
        [&] {
            respond(
                encodeFailure({ErrorCode::Internal, Verdict::DidNotRun, "internal"}, requestId));
        });
}

void CallerService::dispatch(StatementRequest statement, caf::io::broker &connection,
                             Respond respond) const
{
    StatementRequest lost;
    lost.requestId = statement.requestId;
    lost.caller = statement.caller;
    // Without a time limit: the dispatcher answers each request, also when it ends, and CAF would
    // keep the limit's timer beyond the answer.
    connection.request(dispatcher_, caf::infinite, DispatchStatement{std::move(statement)})
        .then(
            [respond, sessions = sessions_](const DispatchReply &reply) {
                respond(encodeStatementReply(reply.request, reply.reply, *sessions));
            },
            [respond, lost = std::move(lost), clock = clock_,
             start = clock_->now()](const caf::error &) {
                const Failure failure{ErrorCode::Internal, Verdict::MayHaveRun,
                                      "the proxy lost the request's answer"};
                logRequest(lost, &failure, clock->now() - start);
                respond(encodeFailure(failure, lost.requestId));
            });
}

} // namespace shallotwalk
