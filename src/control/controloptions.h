#pragma once

#include "core/failure.h"
#include "wire/wire.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace shallotwalk {

/// Exit codes of shallotwalkctl; scripts rely on them.
enum class ControlExit {
    Success = 0,
    Failed = 1,   ///< The proxy refused the request or couldn't be reached.
    Usage = 2,    ///< Wrong options or arguments.
    Conflict = 3, ///< Another version of the tables is in force.
    Unknown = 4,  ///< The change may or may not take effect.
};

/// Options of one call of shallotwalkctl.
struct ControlOptions
{
    std::vector<HttpEndpoint> addresses; ///< At least one; several for \c fleet only.
    std::string key;                     ///< Of the operators; from a file or the environment.
    std::string command;
    std::vector<std::string> arguments;
    std::optional<ConfigurationVersion> expected;
    bool json = false;
    bool help = false;
    bool version = false;
};

/// The text of --help. Thread-safe.
std::string controlHelp();

/// Reads the command line without the program's name. Fails with ErrorCode::BadRequest.
Result<ControlOptions> parseControlOptions(std::span<const std::string> arguments);

} // namespace shallotwalk
