#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace shallotwalk {

/// Encodes a generated Thrift struct in the compact protocol. Throws a std::exception if that
/// fails. Thread-safe.
template<class Struct>
std::string toThriftPayload(const Struct &wire)
{
    using apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    wire.write(&protocol);
    return buffer->getBufferAsString();
}

/// Decodes \a payload into a generated Thrift struct. Memory is bounded by a multiple of the
/// payload's size. Throws a std::exception if the payload is malformed. Thread-safe.
template<class Struct>
void fromThriftPayload(std::span<const char> payload, Struct &wire)
{
    using apache::thrift::TConfiguration;
    using apache::thrift::transport::TMemoryBuffer;
    constexpr int maxNesting = 4;
    const auto size = static_cast<int>(payload.size());
    auto configuration = std::make_shared<TConfiguration>(size, size, maxNesting);
    // TMemoryBuffer takes a mutable pointer but doesn't write in OBSERVE mode.
    auto *bytes = const_cast<char *>(payload.data());
    auto buffer = std::make_shared<TMemoryBuffer>(reinterpret_cast<std::uint8_t *>(bytes),
                                                  static_cast<std::uint32_t>(size),
                                                  TMemoryBuffer::OBSERVE, configuration);
    // Each element takes at least one byte.
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer, size, size);
    protocol.setRecurisionLimit(maxNesting);
    wire.read(&protocol);
}

} // namespace shallotwalk
