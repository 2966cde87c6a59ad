#include "core/sessionstate.h"

#include <algorithm>

namespace shallotwalk {

std::optional<Position> SessionState::positionFor(std::string_view database) const
{
    const auto found = positions_.find(database);
    if (found == positions_.end())
        return std::nullopt;
    return found->second;
}

void SessionState::observe(std::string_view database, Position position)
{
    const auto [place, isNew] = positions_.try_emplace(std::string(database), position);
    if (place->second < position)
        place->second = position;
    use(database, isNew);
}

void SessionState::reset(std::string_view database, Position position)
{
    const auto [place, isNew] = positions_.insert_or_assign(std::string(database), position);
    use(database, isNew);
}

void SessionState::touch(std::string_view database)
{
    if (positions_.contains(database))
        use(database, false);
}

bool SessionState::mayHaveLost(std::string_view database) const
{
    return incomplete_ && !positions_.contains(database);
}

void SessionState::use(std::string_view database, bool isNew)
{
    if (isNew) {
        order_.emplace_back(database);
        return;
    }
    const auto found = std::find(order_.begin(), order_.end(), database);
    std::rotate(found, found + 1, order_.end());
}

} // namespace shallotwalk
