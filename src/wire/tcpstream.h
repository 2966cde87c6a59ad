#pragma once

#include "core/failure.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace shallotwalk {

/// A non-blocking TCP connection whose calls wait with poll until a deadline. For detached actors,
/// which may block for a bounded time. Errors are Failure objects with ErrorCode::ConnectionLost or
/// ErrorCode::DeadlineExceeded; their verdict is "did not run" as long as no byte has been sent.
/// Deadlines are times of CLOCK_BOOTTIME. Not thread-safe; movable.
class TcpStream
{
public:
    TcpStream() = default;
    ~TcpStream();
    TcpStream(TcpStream &&other) noexcept;
    TcpStream &operator=(TcpStream &&other) noexcept;

    /// Connects to the IP number \a host. Names are not resolved.
    static Result<TcpStream> connect(std::string_view host, std::uint16_t port, TimePoint deadline);

    /// Reads at least one byte; returns 0 at the end of the stream.
    /// \pre \a buffer is not empty.
    Result<std::size_t> readSome(std::span<char> buffer, TimePoint deadline);

    /// Waits until readSome() wouldn't block. Returns false when the deadline has passed.
    bool waitReadable(TimePoint deadline) const;

    /// Writes all of \a data.
    Result<void> writeAll(std::string_view data, TimePoint deadline);

    /// True if the peer has closed the connection or has sent data that nobody asked for. Such a
    /// connection must not be used for a new request. Doesn't block.
    bool isStale() const;

    bool isOpen() const { return socket_ >= 0; }

    /// The socket, for poll; -1 if closed. The stream keeps ownership.
    int nativeHandle() const { return socket_; }

    void close();

private:
    explicit TcpStream(int socket)
        : socket_(socket)
    {
    }

    int socket_ = -1;
};

} // namespace shallotwalk
