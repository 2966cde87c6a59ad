#pragma once

#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <string>

namespace shallotwalk {

/// The bytes of a complete HTTP request or response. Thread-safe.
template<bool isRequest, class Body, class Fields>
std::string httpBytes(boost::beast::http::message<isRequest, Body, Fields> &message)
{
    boost::beast::http::serializer<isRequest, Body, Fields> serializer(message);
    std::string text;
    boost::beast::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](boost::beast::error_code &, const auto &buffers) {
            text += boost::beast::buffers_to_string(buffers);
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
    }
    return text;
}

} // namespace shallotwalk
