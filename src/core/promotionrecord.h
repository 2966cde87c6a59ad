#pragma once

#include "core/position.h"
#include "core/storerevision.h"

#include <cstdint>
#include <string>

namespace shallotwalk {

/// Record of a group's last promotion in the store. The fencing token of the promotion order is
/// made of its revision, so no two orders have the same token.
struct PromotionRecord
{
    std::string service;
    std::string server; ///< To be promoted; empty if the order was certainly not carried out.
    std::string holder; ///< Proxy that gives the order.
    std::string nonce;  ///< Identifies the proxy's own write if the answer to it was lost.
    /// End of the server's log when it was chosen. A log of an older term that is longer may have
    /// forked.
    Position position;
    StoreRevision revision;
    /// Newest term when the server was chosen. The promotion ends it: a commit of this term beyond
    /// \c position is rolled back.
    Term endedTerm = 0;
    /// Counts the records of the service, so that it is known which of two is newer after the store
    /// has gone back. 0 in the records of versions that don't count them.
    std::uint64_t number = 0;
    /// Log floor since the server was chosen, see LogFloor. Less than \c position where the server
    /// is the former primary, whose last commits nobody had confirmed.
    Position floor = {};

    bool operator==(const PromotionRecord &) const = default;
};

/// Whether both records are of the same order, and both of its choice or both of its withdrawal.
/// Thread-safe.
bool isSameOrder(const PromotionRecord &first, const PromotionRecord &second);

/// Brings \a known, the newest record of a service that is known, up to date with \a record, which
/// the store holds at a later revision. Returns whether \a record is newer. If it isn't, since the
/// store has gone back, \a known only gets its revision. Thread-safe.
/// \pre \a known.revision < \a record.revision.
bool mergePromotion(const PromotionRecord &record, PromotionRecord &known);

} // namespace shallotwalk
