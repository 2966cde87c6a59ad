#include "wire/exchangecodec.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace shallotwalk;

namespace {

std::optional<ExchangeMessage> decode(std::string_view bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<ExchangeMessage>> {
            BOOST_LEAF_AUTO(message, decodeExchangeMessage(bytes));
            return std::optional<ExchangeMessage>(std::move(message));
        },
        [](const Failure &failure) {
            BOOST_TEST(!failure.message.empty());
            return std::optional<ExchangeMessage>();
        },
        [] {
            BOOST_ERROR("an error is not a Failure");
            return std::optional<ExchangeMessage>();
        });
}

std::string encode(const ExchangeMessage &message)
{
    return boost::leaf::try_handle_all([&] { return encodeExchangeMessage(message); },
                                       [] { return std::string(); });
}

ExchangeMessage sample()
{
    ExchangeMessage message;
    message.sender = "front-nord-a-1";
    message.incarnation = 0xfedcba9876543210;
    message.probe = TimePoint(Duration(123456789));
    message.echo = ClockEcho{TimePoint(Duration(5)), TimePoint(Duration(99))};
    message.watermarks = {{"bookings", {3, 1207}, TimePoint(Duration(777))},
                          {"rounds", {1, 0}, TimePoint(Duration(0)), {1, 1199}}};
    message.relayed = true;
    return message;
}

} // namespace

BOOST_AUTO_TEST_SUITE(exchange_codec)

BOOST_AUTO_TEST_CASE(decoded_message_equals_the_encoded_one)
{
    for (const auto &message : {sample(), ExchangeMessage{"p", 0, {}, {}, {}, false}}) {
        const auto decoded = decode(encode(message));
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((*decoded == message));
    }
}

// Guards against a datagram of another program or version, or one that was cut off, that ends the
// process or is taken for a message.
BOOST_AUTO_TEST_CASE(malformed_datagrams_are_refused)
{
    const auto bytes = encode(sample());
    BOOST_TEST(!decode("").has_value());
    BOOST_TEST(!decode(std::string(maxExchangeBytes + 1, 'x')).has_value());
    for (std::size_t length = 1; length < bytes.size(); ++length)
        BOOST_TEST(!decode(std::string_view(bytes).substr(0, length)).has_value());
    std::mt19937 random(11);
    for (int round = 0; round < 20000; ++round) {
        auto changed = bytes;
        for (int i = 0; i < 3; ++i)
            changed[random() % changed.size()] = static_cast<char>(random());
        const auto decoded = decode(changed);
        if (decoded)
            BOOST_TEST(!decoded->sender.empty());
    }
}

BOOST_AUTO_TEST_CASE(times_and_names_out_of_range_are_refused)
{
    auto message = sample();
    message.probe = TimePoint(Duration(-1));
    BOOST_TEST(!decode(encode(message)).has_value());
    message = sample();
    message.watermarks[0].sentAt = TimePoint::max();
    BOOST_TEST(!decode(encode(message)).has_value());
    message = sample();
    message.watermarks[0].service.clear();
    BOOST_TEST(!decode(encode(message)).has_value());
    message = sample();
    message.sender.clear();
    BOOST_TEST(!decode(encode(message)).has_value());
    message = sample();
    message.watermarks.assign(200, message.watermarks[0]);
    BOOST_TEST(encode(message).empty()); // Longer than a datagram may be.
}

BOOST_AUTO_TEST_SUITE_END()
