#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace shallotwalk {

/// Place in the history of a store. A store that is restored from an older copy goes back in its
/// history: it counts a new era, and gives out the numbers after the copy again, for other changes.
/// So the era is compared before the number. Immutable and thread-safe.
class StoreRevision
{
public:
    /// Implicit, since a store that counts no eras is always in era 0. Number 0 comes before every
    /// change of its era.
    constexpr StoreRevision(std::int64_t number = 0, std::int64_t era = 0)
        : era_(era)
        , number_(number)
    {
    }

    constexpr std::int64_t era() const { return era_; }
    constexpr std::int64_t number() const { return number_; }

    auto operator<=>(const StoreRevision &) const = default;

    /// Returns the revision that follows within the era.
    constexpr StoreRevision next() const { return {number_ + 1, era_}; }

    /// Returns a fencing token that rises with the revision, over eras too. Without eras it is the
    /// number. It stays exact in a JSON number for the first 8,191 eras.
    constexpr std::int64_t fencingToken() const { return (era_ << eraShift) + number_; }

private:
    /// Leaves numbers for 30,000 changes a second over a year.
    static constexpr int eraShift = 40;

    std::int64_t era_;
    std::int64_t number_;
};

/// Returns "<era>.<number>", or the number alone in era 0, for logs. Thread-safe.
inline std::string toString(StoreRevision revision)
{
    const auto number = std::to_string(revision.number());
    return revision.era() == 0 ? number : std::to_string(revision.era()) + '.' + number;
}

} // namespace shallotwalk
