#include "core/verdict.h"

namespace shallotwalk {

std::string_view toString(Verdict verdict)
{
    switch (verdict) {
    case Verdict::DidNotRun:
        return "did_not_run";
    case Verdict::MayHaveRun:
        return "may_have_run";
    case Verdict::Ran:
        return "ran";
    }
    return "may_have_run";
}

std::optional<Verdict> verdictFromString(std::string_view name)
{
    for (const auto verdict : {Verdict::DidNotRun, Verdict::MayHaveRun, Verdict::Ran}) {
        if (toString(verdict) == name)
            return verdict;
    }
    return std::nullopt;
}

} // namespace shallotwalk
