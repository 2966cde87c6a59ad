#pragma once

#include <utility>

namespace shallotwalk {

/// Owns a socket descriptor until it is released. Not thread-safe.
class SocketDescriptor
{
public:
    explicit SocketDescriptor(int descriptor = -1)
        : descriptor_(descriptor)
    {
    }
    SocketDescriptor(const SocketDescriptor &) = delete;
    SocketDescriptor &operator=(const SocketDescriptor &) = delete;

    /// Closes the descriptor unless it was released.
    ~SocketDescriptor();

    int value() const { return descriptor_; }
    bool valid() const { return descriptor_ >= 0; }

    /// Returns the descriptor, which the caller then owns.
    int release() { return std::exchange(descriptor_, -1); }

private:
    int descriptor_;
};

} // namespace shallotwalk
