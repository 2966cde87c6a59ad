#pragma once

#include "core/failure.h"
#include "core/ownershipsettings.h"
#include "databases/databaseactor.h"
#include "node/nodeactor.h"
#include "wire/wire.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// An IP number and a TCP port.
struct Address
{
    std::string host;
    std::uint16_t port = 0;
};

/// How log lines are written.
enum class LogFormat { Text, Json };

/// Settings of one proxy process. Every member has a default except the VM, the data centre, the
/// addresses and the keys.
struct Settings
{
    std::string vm;
    std::string dataCentre;
    Address callers;
    Address peers;
    Address administration;
    std::vector<Address> store;
    Address vmList;
    std::vector<Address> seeds; ///< Peer addresses of other proxies, for the first contact.

    std::string sessionKey;   ///< Signs session cookies; the same on all proxies.
    std::string peerKey;      ///< Authenticates peers; the same on all proxies.
    std::string operatorsKey; ///< Bearer token of the administration API.

    std::size_t callerConnectionLimit = 10000;
    HttpLimits http;
    DrainSettings drain;
    DatabaseSettings database;
    OwnershipSettings ownership;

    LogFormat logFormat = LogFormat::Text;
    std::string logLevel = "info";
};

/// Reads settings from JSON with comments. Fails with ErrorCode::BadRequest and a message that has
/// one line for each problem: JSON path, value and allowed range. Thread-safe.
Result<Settings> parseSettings(std::string_view text);

/// Reads settings from \a path; messages begin with the file's name. Thread-safe.
Result<Settings> loadSettings(const std::string &path);

} // namespace shallotwalk
