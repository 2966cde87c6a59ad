#include "gateway/exchangeactor.h"

#include "wire/exchangecodec.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

#include <cerrno>

namespace shallotwalk {

namespace {

using TimerExpired = caf::atom_constant<caf::atom("tick")>;
using OpenSocket = caf::atom_constant<caf::atom("open")>;

} // namespace

caf::behavior ExchangeActor::run(Broker *self, ExchangeContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior ExchangeActor::start(ExchangeContext context)
{
    context_ = std::move(context);
    exchange_.emplace(context_.self, context_.incarnation);
    if (context_.self.port != 0)
        openSocket();
    self_->send(context_.directory, DirectoryRequest{});
    return {
        [this](const FleetChanged &message) { exchange_->setMembers(message.members); },
        [this](const WatermarkObserved &message) {
            exchange_->observed(message.watermark);
            sendDue();
        },
        [this](const DatagramReceived &message) { handleDatagram(message); },
        [this](TimerExpired) {
            timerDueAt_ = TimePoint::max();
            sendDue();
        },
        [this](OpenSocket) { openSocket(); },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) { return dump(); },
        [this](MetricsRequest) { return metrics(); },
    };
}

void ExchangeActor::openSocket()
{
    const auto &address = context_.self;
    socket_ = DatagramSocket::open(self_->system(), address.host, address.port, maxExchangeBytes,
                                   caf::actor_cast<caf::actor>(self_));
    if (socket_) {
        spdlog::info("event=listening listener=exchange address={}:{}", address.host, address.port);
        return;
    }
    spdlog::error("event=listen_failed listener=exchange address={}:{} errno={}", address.host,
                  address.port, errno);
    self_->delayed_send(self_, context_.reopenDelay, OpenSocket::value);
}

void ExchangeActor::handleDatagram(const DatagramReceived &datagram)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, decodeExchangeMessage(datagram.bytes));
            const auto *sender = exchange_->member(message.sender);
            if (sender != nullptr && sender->host != datagram.host) {
                ++misaddressed_;
                return {};
            }
            auto heard = exchange_->receive(message, context_.clock->now());
            if (!heard.empty())
                self_->send(context_.groups, WatermarksHeard{std::move(heard)});
            return {};
        },
        [&](const Failure &failure) {
            if (malformed_++ == 0) {
                spdlog::warn("event=exchange_message_malformed host={} reason={}", datagram.host,
                             logValue(failure.message));
            }
        },
        [&] { ++malformed_; });
    sendDue();
}

void ExchangeActor::sendDue()
{
    const auto now = context_.clock->now();
    for (const auto &send : exchange_->tick(now)) {
        boost::leaf::try_handle_all(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(bytes, encodeExchangeMessage(send.message));
                if (!socket_ || !socket_->send(send.host, send.port, bytes))
                    ++unsent_;
                return {};
            },
            [&](const Failure &failure) {
                ++unsent_;
                spdlog::warn("event=exchange_message_not_encoded vm={} reason={}",
                             logValue(send.vm), logValue(failure.message));
            },
            [&] { ++unsent_; });
    }
    // A later timer that is still pending isn't cancelled: it only causes one extra tick().
    const auto due = exchange_->nextDue(now);
    if (due < timerDueAt_) {
        timerDueAt_ = due;
        self_->delayed_send(self_, due - now, TimerExpired::value);
    }
}

StateDump ExchangeActor::dump() const
{
    const auto &counters = exchange_->counters();
    return {boost::json::object{{"listening", socket_ != nullptr},
                                {"relay", exchange_->isRelay()},
                                {"received", counters.received},
                                {"sent", counters.sent},
                                {"taken", counters.taken},
                                {"undated", counters.undated},
                                {"foreign", counters.foreign},
                                {"misaddressed", misaddressed_},
                                {"malformed", malformed_},
                                {"unsent", unsent_}}};
}

MetricsText ExchangeActor::metrics() const
{
    const auto &counters = exchange_->counters();
    return {metricText("shallotwalk_exchange_received_total", "counter",
                       "Messages of other proxies.", counters.received)
            + metricText("shallotwalk_exchange_sent_total", "counter", "Messages to other proxies.",
                         counters.sent)
            + metricText("shallotwalk_exchange_rejected_total", "counter",
                         "Datagrams that are no message of a proxy of the fleet.",
                         counters.foreign + misaddressed_ + malformed_)
            + metricText("shallotwalk_exchange_unsent_total", "counter",
                         "Messages that the system did not take.", unsent_)};
}

} // namespace shallotwalk
