#pragma once

#include <cstdint>
#include <string>

namespace shallotwalk {

/// A backend server's registration, as published by the server itself.
struct ServerRegistration
{
    std::string id;
    std::string service; ///< Name of the group that it belongs to.
    std::string host;    ///< IP address.
    std::uint16_t port = 0;
    std::string dataCentre;
    std::uint32_t slots = 1; ///< Number of statements that it can run at once.
    bool leaving = false;    ///< It is being taken away and must get no new work.
    bool primary = false;    ///< Whether the server considers itself primary.
    /// Start of the server in milliseconds since 1970, to distinguish two starts under one id.
    std::int64_t startedAt = 0;

    bool operator==(const ServerRegistration &) const = default;
};

} // namespace shallotwalk
