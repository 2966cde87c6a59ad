#include "core/connectioncontent.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Number of prepared statements beyond which a connection is reset, to bound the memory that they
/// use at the server.
constexpr std::size_t preparedLimit = 500;

} // namespace

std::vector<ServerCommand>
ConnectionContent::prepareFor(const SessionValues &values,
                              const std::optional<PreparedStatement> &prepared)
{
    std::vector<ServerCommand> commands;
    const bool surplus = std::any_of(values_.begin(), values_.end(), [&](const auto &entry) {
        return !values.contains(entry.first);
    });
    if (surplus || names_.size() > preparedLimit) {
        commands.push_back({CommandKind::ResetSession, {}});
        values_.clear();
        names_.clear();
    }
    for (const auto &[name, value] : values) {
        const auto present = values_.find(name);
        if (present != values_.end() && present->second == value)
            continue;
        commands.push_back({CommandKind::SetValue, {}, {}, false, name, value});
        values_[name] = value;
    }
    if (prepared && !names_.contains(*prepared)) {
        const auto name = "s" + std::to_string(++lastName_);
        names_.emplace(*prepared, name);
        commands.push_back(
            {CommandKind::Prepare, {}, {}, prepared->readOnly, name, prepared->statementTemplate});
    }
    return commands;
}

} // namespace shallotwalk
