#pragma once

#include <cstdint>
#include <string>

namespace shallotwalk {

/// Begins to connect the non-blocking socket \a descriptor to an IP number without waiting for the
/// outcome. Returns false, with errno set, if the attempt failed at once. Thread-safe.
bool startConnect(int descriptor, const std::string &host, std::uint16_t port);

/// A new non-blocking TCP socket that is being connected, without delay for small writes, and on
/// which the kernel gives up after \a userTimeoutMs of unacknowledged data. Returns -1, with errno
/// set, if that failed at once. The caller owns the descriptor. Thread-safe.
int openConnectingSocket(const std::string &host, std::uint16_t port, int userTimeoutMs);

} // namespace shallotwalk
