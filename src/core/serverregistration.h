#pragma once

#include <cstdint>
#include <string>

namespace shallotwalk {

/// What a backend server has registered about itself.
struct ServerRegistration
{
    std::string id;
    std::string service; ///< Group that it belongs to.
    std::string host;    ///< IP number.
    std::uint16_t port = 0;
    std::string dataCentre;
    std::uint32_t slots = 1;    ///< Statements that it works on at once.
    bool leaving = false;       ///< Must get no new work.
    bool primary = false;       ///< As the server sees itself.
    std::int64_t startedAt = 0; ///< Milliseconds since 1970; tells two starts under one id apart.

    bool operator==(const ServerRegistration &) const = default;
};

} // namespace shallotwalk
