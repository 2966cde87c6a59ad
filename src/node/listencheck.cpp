#include "node/listencheck.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/leaf/error.hpp>

namespace shallotwalk {

namespace {

namespace asio = boost::asio;

/// Binds as the listeners do; the socket is closed on return.
boost::system::error_code tryBind(const Address &address)
{
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                                           address.port);
    if (error)
        return error;
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    return error;
}

} // namespace

Result<void> checkListenAddresses(const Settings &settings)
{
    std::string message;
    const auto check = [&message](std::string_view name, const Address &address) {
        const auto error = tryBind(address);
        if (!error)
            return;
        message += (message.empty() ? "" : "\n") + std::string("listen.") + std::string(name)
                   + ": can't listen on " + address.host + ":" + std::to_string(address.port) + ": "
                   + error.message();
    };
    check("callers", settings.callers);
    check("peers", settings.peers);
    check("administration", settings.administration);
    if (message.empty())
        return {};
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, std::move(message)});
}

} // namespace shallotwalk
