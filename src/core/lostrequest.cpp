#include "core/lostrequest.h"

namespace shallotwalk {

GroupAnswer outcomeOfLostRequest(const GroupRequest &request)
{
    const bool commit = request.statement.kind == StatementKind::Commit;
    const bool single = request.scope == RequestScope::Single;
    GroupAnswer outcome;
    outcome.answer.error =
        commit || (single && !request.readOnly) ? AnswerCode::InDoubt : AnswerCode::Aborted;
    outcome.answer.text = "the connections to the servers were lost";
    outcome.answer.state = commit || single ? TransactionState::None : TransactionState::Failed;
    return outcome;
}

} // namespace shallotwalk
