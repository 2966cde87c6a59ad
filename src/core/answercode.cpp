#include "core/answercode.h"

namespace shallotwalk {

std::string_view toString(AnswerCode code)
{
    switch (code) {
    case AnswerCode::Busy:
        return "busy";
    case AnswerCode::Lagging:
        return "lagging";
    case AnswerCode::ReadOnly:
        return "read_only";
    case AnswerCode::WrongServer:
        return "wrong_server";
    case AnswerCode::TooManyClients:
        return "too_many_clients";
    case AnswerCode::NotPrepared:
        return "not_prepared";
    case AnswerCode::Failed:
        return "failed";
    case AnswerCode::TimedOut:
        return "timed_out";
    case AnswerCode::NoDatabase:
        return "no_database";
    case AnswerCode::NotPermitted:
        return "not_permitted";
    case AnswerCode::TooBig:
        return "too_big";
    case AnswerCode::Malformed:
        return "malformed";
    case AnswerCode::Aborted:
        return "aborted";
    case AnswerCode::InDoubt:
        return "in_doubt";
    case AnswerCode::Unknown:
        break;
    }
    return "unknown";
}

bool impliesDidNotRun(AnswerCode code)
{
    switch (code) {
    case AnswerCode::Busy:
    case AnswerCode::Lagging:
    case AnswerCode::ReadOnly:
    case AnswerCode::WrongServer:
    case AnswerCode::TooManyClients:
    case AnswerCode::NotPrepared:
        return true;
    default:
        return false;
    }
}

} // namespace shallotwalk
