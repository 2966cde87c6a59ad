#include "core/core.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>

using namespace shallotwalk;
using namespace std::chrono_literals;

namespace {

const TimePoint start{std::chrono::seconds(1000)};

FleetMember member(const std::string &vm, const std::string &dataCentre)
{
    return {vm, dataCentre, "10.0.0.1", 7440};
}

SharedWatermark mark(LogPosition lsn, TimePoint sentAt, const std::string &service = "bookings",
                     Term term = 1)
{
    return {service, {term, lsn}, sentAt};
}

/// Proxies that exchange messages without loss and delay, each with a clock of its own.
struct ExchangeFixture
{
    ExchangeFixture()
    {
        for (const std::string dataCentre : {"nord", "sud", "centre"}) {
            for (int i = 0; i < 5; ++i)
                members.push_back(member(dataCentre + std::to_string(i), dataCentre));
        }
        for (const auto &self : members) {
            exchanges.try_emplace(self.vm, self, 1);
            exchanges.at(self.vm).setMembers(members);
            // The clocks lie hours apart.
            skews[self.vm] = std::chrono::hours(skews.size());
        }
    }

    TimePoint clock(const std::string &vm) const { return now + skews.at(vm); }

    void deliver(const ExchangeSend &send)
    {
        ++delivered;
        const auto &from = *std::find_if(members.begin(), members.end(), [&](const auto &member) {
            return member.vm == send.message.sender;
        });
        const auto &to = *std::find_if(members.begin(), members.end(),
                                       [&](const auto &member) { return member.vm == send.vm; });
        crossing += from.dataCentre != to.dataCentre ? 1 : 0;
        for (const auto &heard : exchanges.at(send.vm).receive(send.message, clock(send.vm)))
            known[send.vm][heard.service] = heard;
    }

    void run(Duration duration)
    {
        for (const auto end = now + duration; now < end; now += 10ms) {
            for (auto &[vm, exchange] : exchanges) {
                for (const auto &send : exchange.tick(clock(vm))) {
                    if (!silent.contains(vm) && !silent.contains(send.vm))
                        deliver(send);
                }
            }
        }
    }

    std::vector<FleetMember> members;
    std::map<std::string, WatermarkExchange> exchanges;
    std::map<std::string, Duration> skews;
    std::map<std::string, std::map<std::string, SharedWatermark>> known;
    std::set<std::string> silent;
    TimePoint now = start;
    std::size_t delivered = 0;
    std::size_t crossing = 0; ///< Messages between data centres.
};

} // namespace

BOOST_AUTO_TEST_SUITE(peer_clock)

// Guards against stale reads: a position whose message was long on its way, or waited while this
// process was suspended, must not seem fresher than it is.
BOOST_AUTO_TEST_CASE(converted_time_is_never_later_than_the_true_one)
{
    std::mt19937_64 random(7);
    std::uniform_int_distribution<Duration::rep> delay(0, 8'000'000);
    for (int round = 0; round < 1000; ++round) {
        const Duration lead = Duration(delay(random)) * 3600 - 4h; // Of this clock over the peer's.
        PeerClock clock;
        TimePoint now = start + 5h;
        clock.probed(now);
        const auto probe = now;
        now += Duration(delay(random));
        const ClockEcho echo{probe, now - lead};
        now += Duration(delay(random));
        clock.answered(1, echo, now);
        const auto asked = now + Duration(delay(random));
        now = asked + Duration(delay(random));
        const auto local = clock.toLocal(1, asked - lead, now);
        BOOST_REQUIRE(local.has_value());
        BOOST_TEST((*local <= asked));
    }
}

BOOST_AUTO_TEST_CASE(conversion_is_close_if_messages_are_fast)
{
    PeerClock clock;
    clock.probed(start);
    clock.answered(1, {start, start - 1h + 8ms}, start + 16ms);
    const auto local = clock.toLocal(1, start - 1h + 1s, start + 1100ms);
    BOOST_REQUIRE(local.has_value());
    BOOST_TEST((*local <= start + 1s));
    BOOST_TEST((*local >= start + 1s - 10ms));
    // A slower echo doesn't replace the better measurement.
    clock.probed(start + 6s);
    clock.answered(1, {start + 6s, start + 6s - 1h + 900ms}, start + 7s);
    BOOST_TEST((*clock.toLocal(1, start - 1h + 7s, start + 7s) >= start + 7s - 20ms));
}

// Guards against times of a process that has been started again, whose clock may differ.
BOOST_AUTO_TEST_CASE(other_incarnations_and_unasked_echoes_are_ignored)
{
    PeerClock clock;
    clock.answered(1, {start, start}, start);
    BOOST_TEST(!clock.toLocal(1, start, start).has_value());
    clock.probed(start);
    clock.answered(1, {start + 1s, start}, start);
    BOOST_TEST(!clock.toLocal(1, start, start).has_value());
    clock.answered(1, {start, start}, start);
    BOOST_TEST(clock.toLocal(1, start, start).has_value());
    BOOST_TEST(!clock.toLocal(2, start, start).has_value());
    BOOST_TEST(!clock.probeDue(start + 1s));
    BOOST_TEST(clock.probeDue(start + 6s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(watermark_exchange, ExchangeFixture)

// Guards against proxies that don't learn a primary's position and must ask for it themselves, and
// against traffic between data centres that grows with the number of proxies.
BOOST_AUTO_TEST_CASE(all_proxies_learn_a_position_through_two_relays_of_each_data_centre)
{
    LogPosition lsn = 100;
    for (int i = 0; i < 10; ++i) {
        exchanges.at("nord0").observed(mark(++lsn, clock("nord0")));
        run(400ms);
    }
    const auto sentAt = now - 400ms;
    for (const auto &self : members) {
        if (self.vm == "nord0")
            continue;
        const auto &heard = known[self.vm]["bookings"];
        BOOST_TEST(heard.position.lsn == lsn, self.vm);
        BOOST_TEST((heard.sentAt <= sentAt + skews[self.vm]), self.vm);
        BOOST_TEST((heard.sentAt >= sentAt + skews[self.vm] - 20ms), self.vm);
    }
    // Each round sends to the four relays elsewhere, besides some messages to compare clocks.
    BOOST_TEST(crossing <= 10U * 4 + 4 * 8);
}

// Guards against a data centre that hears nothing because its first relay has died.
BOOST_AUTO_TEST_CASE(one_dead_relay_of_a_data_centre_is_no_loss)
{
    for (const auto &self : members) {
        if (self.dataCentre == "sud" && exchanges.at(self.vm).isRelay()) {
            silent.insert(self.vm);
            break;
        }
    }
    for (int i = 0; i < 5; ++i) {
        exchanges.at("nord0").observed(mark(100 + i, clock("nord0")));
        run(400ms);
    }
    for (const auto &self : members) {
        if (self.vm != "nord0" && !silent.contains(self.vm))
            BOOST_TEST(known[self.vm]["bookings"].position.lsn == 104U, self.vm);
    }
}

BOOST_AUTO_TEST_CASE(messages_of_strangers_and_older_positions_are_ignored)
{
    auto &exchange = exchanges.at("nord0");
    ExchangeMessage message;
    message.sender = "stranger";
    message.watermarks = {mark(100, now)};
    BOOST_TEST(exchange.receive(message, clock("nord0")).empty());
    BOOST_TEST(exchange.counters().foreign == 1U);
    // A member whose clock is not known yet.
    message.sender = "nord1";
    message.incarnation = 1;
    BOOST_TEST(exchange.receive(message, clock("nord0")).empty());
    BOOST_TEST(exchange.counters().undated == 1U);
    run(100ms);
    message.watermarks = {mark(100, clock("nord1"))};
    BOOST_TEST(exchange.receive(message, clock("nord0")).size() == 1U);
    BOOST_TEST(exchange.receive(message, clock("nord0")).empty()); // Repeated.
    message.watermarks = {mark(50, clock("nord1") + 1h)};
    BOOST_TEST(exchange.receive(message, clock("nord0")).empty()); // Of a time to come.
    run(100ms);
    message.watermarks = {mark(10, clock("nord1"), "bookings", 2)};
    BOOST_TEST(exchange.receive(message, clock("nord0")).size() == 1U);
    run(100ms);
    message.watermarks = {mark(900, clock("nord1"), "bookings", 1)};
    BOOST_TEST(exchange.receive(message, clock("nord0")).empty()); // Of an older term.
}

// Guards against datagrams that are too long for a packet and against unbounded memory.
BOOST_AUTO_TEST_CASE(many_groups_are_split_over_messages)
{
    WatermarkExchangeSettings settings;
    settings.maxServices = 100;
    WatermarkExchange exchange(members.front(), 1, settings);
    exchange.setMembers(members);
    for (int i = 0; i < 200; ++i)
        exchange.observed(mark(100, now, "service-" + std::to_string(i)));
    std::map<std::string, std::size_t> received;
    for (const auto &send : exchange.tick(now)) {
        std::size_t bytes = 0;
        for (const auto &watermark : send.message.watermarks)
            bytes += watermark.service.size() + 26;
        BOOST_TEST(bytes <= 1000U);
        received[send.vm] += send.message.watermarks.size();
    }
    for (const auto &[vm, count] : received)
        BOOST_TEST(count == 100U, vm);
    BOOST_TEST(exchange.tick(now + 1s).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(watermark_sharing)

// Guards against probes of one primary by every proxy of the fleet.
BOOST_AUTO_TEST_CASE(proxy_of_a_higher_rank_asks_only_after_a_longer_silence)
{
    WatermarkSharing first;
    WatermarkSharing third;
    third.setRank(2);
    BOOST_TEST(!first.probeDue(start, start + 399ms));
    BOOST_TEST(first.probeDue(start, start + 400ms));
    BOOST_TEST(!third.probeDue(start, start + 599ms));
    BOOST_TEST(third.probeDue(start, start + 600ms));
}

BOOST_AUTO_TEST_CASE(position_is_passed_on_unless_a_recent_one_was)
{
    WatermarkSharing sharing;
    BOOST_TEST(sharing.takeForSharing(start));
    BOOST_TEST(!sharing.takeForSharing(start + 399ms));
    BOOST_TEST(sharing.takeForSharing(start + 400ms));
    sharing.heard(start + 700ms);
    BOOST_TEST(!sharing.takeForSharing(start + 1000ms));
    BOOST_TEST(sharing.takeForSharing(start + 1100ms));
}

// Guards against a promotion that loses commits which other proxies know to be acknowledged: that
// is passed on also with an older position, and to a proxy that doesn't know the sender's clock
// yet.
BOOST_FIXTURE_TEST_CASE(acknowledged_commits_are_known_to_all, ExchangeFixture)
{
    auto watermark = mark(100, clock("nord0"));
    watermark.acknowledged = {1, 90};
    exchanges.at("nord0").observed(watermark);
    run(300ms);
    for (const auto &member : members) {
        if (member.vm != "nord0")
            BOOST_TEST((known[member.vm]["bookings"].acknowledged == Position{1, 90}), member.vm);
    }
    run(2s);
    watermark = mark(80, clock("sud1") - 10s);
    watermark.acknowledged = {1, 95};
    exchanges.at("sud1").observed(watermark);
    run(300ms);
    for (const auto &member : members) {
        if (member.vm != "sud1")
            BOOST_TEST((known[member.vm]["bookings"].acknowledged == Position{1, 95}), member.vm);
    }
}

BOOST_AUTO_TEST_SUITE_END()
