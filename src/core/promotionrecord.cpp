#include "core/promotionrecord.h"

namespace shallotwalk {

bool isSameOrder(const PromotionRecord &first, const PromotionRecord &second)
{
    return !first.nonce.empty() && first.nonce == second.nonce && first.server == second.server;
}

bool mergePromotion(const PromotionRecord &record, PromotionRecord &known)
{
    const bool sameEra = record.revision.era() == known.revision.era();
    if (!isSameOrder(record, known) && (sameEra || record.number >= known.number)) {
        known = record;
        return true;
    }
    known.revision = record.revision;
    return false;
}

} // namespace shallotwalk
