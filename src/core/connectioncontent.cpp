#include "core/connectioncontent.h"

#include <algorithm>
#include <array>

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
    if (surplus || prepared_.size() > preparedLimit) {
        commands.push_back({CommandKind::ResetSession, {}});
        values_.clear();
        prepared_.clear();
    }
    for (const auto &[name, value] : values) {
        const auto present = values_.find(name);
        if (present != values_.end() && present->second == value)
            continue;
        commands.push_back({CommandKind::SetValue, {}, {}, false, name, value});
        values_[name] = value;
    }
    if (prepared && prepared_.insert(*prepared).second) {
        commands.push_back({CommandKind::Prepare,
                            {},
                            {},
                            prepared->readOnly,
                            nameOf(*prepared),
                            prepared->statementTemplate});
    }
    return commands;
}

std::string ConnectionContent::nameOf(const PreparedStatement &prepared)
{
    // Hexadecimal, so that any template gives a valid name, and each template its own.
    constexpr std::array<char, 17> digits{"0123456789abcdef"};
    std::string name = prepared.readOnly ? "r" : "w";
    for (const unsigned char byte : prepared.statementTemplate) {
        name += digits[byte >> 4];
        name += digits[byte & 0xf];
    }
    return name;
}

} // namespace shallotwalk
