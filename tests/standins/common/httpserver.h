#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdio>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <thread>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Socket = asio::ip::tcp::socket;
using Request = http::request<http::string_body>;
using TimePoint = std::chrono::steady_clock::time_point;

/// Serves the requests of all connections. Called from several threads at once.
class RequestHandler
{
public:
    virtual ~RequestHandler() = default;

    /// Handles one request. Returns false if the connection must be closed.
    virtual bool handle(Socket &socket, const Request &request) = 0;
};

/// \a fields are header fields in addition to those of each response.
inline bool respond(Socket &socket, const Request &request, http::status status, std::string body,
                    std::span<const std::pair<std::string, std::string>> fields = {})
{
    http::response<http::string_body> response(status, request.version());
    for (const auto &[name, value] : fields)
        response.set(name, value);
    response.set(http::field::content_type, "application/json");
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    boost::system::error_code error;
    http::write(socket, response, error);
    return !error && request.keep_alive();
}

/// HTTP server on a loopback port with a thread for each connection.
class HttpServer
{
public:
    HttpServer(unsigned short port, RequestHandler &handler)
        : handler_(handler)
        , acceptor_(context_)
        , endpoint_(asio::ip::address_v4::loopback(), port)
    {
        listen();
        endpoint_ = acceptor_.local_endpoint();
    }

    /// Prints the address and serves until the process ends.
    void run()
    {
        std::printf("listening on 127.0.0.1:%u\n", static_cast<unsigned>(endpoint_.port()));
        std::fflush(stdout);
        for (;;) {
            if (std::chrono::steady_clock::now() < refusedUntil())
                stopListening();
            pollfd entry{acceptor_.native_handle(), POLLIN, 0};
            if (::poll(&entry, 1, acceptWaitMs) > 0)
                acceptOne();
        }
    }

    /// Closes all connections and refuses new ones until \a end.
    void refuseUntil(TimePoint end)
    {
        const std::scoped_lock lock(mutex_);
        refusedUntil_ = end;
    }

private:
    static constexpr int acceptWaitMs = 10;

    TimePoint refusedUntil()
    {
        const std::scoped_lock lock(mutex_);
        return refusedUntil_;
    }

    void listen()
    {
        acceptor_.open(endpoint_.protocol());
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(endpoint_);
        acceptor_.listen();
    }

    void stopListening()
    {
        acceptor_.close();
        {
            const std::scoped_lock lock(mutex_);
            for (const int socket : sockets_)
                ::shutdown(socket, SHUT_RDWR);
        }
        std::this_thread::sleep_until(refusedUntil());
        listen();
    }

    void acceptOne()
    {
        boost::system::error_code error;
        Socket socket(context_);
        acceptor_.accept(socket, error);
        if (!error)
            std::thread([this, socket = std::move(socket)]() mutable { serve(socket); }).detach();
    }

    void serve(Socket &socket)
    {
        const int handle = socket.native_handle();
        {
            const std::scoped_lock lock(mutex_);
            sockets_.insert(handle);
        }
        socket.set_option(asio::ip::tcp::no_delay(true));
        boost::beast::flat_buffer buffer;
        boost::system::error_code error;
        for (bool open = true; open;) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(16 * 1024 * 1024);
            http::read(socket, buffer, parser, error);
            open = !error && handler_.handle(socket, parser.get());
        }
        const std::scoped_lock lock(mutex_);
        sockets_.erase(handle);
        socket.close(error);
    }

    RequestHandler &handler_;
    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::endpoint endpoint_;
    std::mutex mutex_;
    std::set<int> sockets_;
    TimePoint refusedUntil_{};
};

} // namespace standin
