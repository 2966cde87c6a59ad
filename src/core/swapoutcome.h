#pragma once

namespace shallotwalk {

/// What became of a compare-and-swap in the store.
enum class SwapOutcome {
    Swapped,
    Conflict, ///< The revision changed, so this swap can't take effect any more.
    Unknown,  ///< No answer: it may have taken effect, or may still.
};

} // namespace shallotwalk
