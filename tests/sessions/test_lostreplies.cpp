#include "sessions/groupfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>

using namespace shallotwalk;

namespace {

/// A server may lose the reply to a command and go on with the next one.
class LostReplies : public GroupFixture
{
public:
    LostReplies()
    {
        ConnectionAllotment allotment; // One connection to each server.
        scheduler.setConnections(allotment, now);
        sampleWatermark();
    }

    /// Answers the commands sent to "p" with "busy", as a server without a free slot does. The next
    /// \a lost replies on the connection \a key are not sent, and \a lost is reduced by them.
    void answerBusy(ServerConnectionKey key, std::size_t &lost)
    {
        connectAll();
        for (const auto &sent : takeSent("p")) {
            for (std::size_t i = 0; i < sent.commands.size(); ++i) {
                const bool loses = sent.key == key && lost > 0;
                if (loses)
                    --lost;
                else
                    reply(sent.key, error(AnswerCode::Busy));
            }
        }
    }

    bool knowsPrimary() const
    {
        const auto &servers = scheduler.servers();
        return std::any_of(servers.begin(), servers.end(),
                           [](const auto &entry) { return entry.second.primary; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(lost_replies, LostReplies)

// Guards against a write that runs twice: its reply was lost, and the error that answered a status
// request on the same connection was taken for it.
BOOST_AUTO_TEST_CASE(error_of_a_status_request_is_not_the_reply_to_a_write)
{
    scheduler.submit(request(1, StatementKind::Write), now);
    const auto key = port.sent.back().key;
    std::size_t lost = 1;
    std::size_t writes = 0;
    for (int i = 0; i < 100; ++i) {
        const auto sent = kinds("p");
        writes += std::count(sent.begin(), sent.end(), CommandKind::Write);
        answerBusy(key, lost);
        wait(10ms);
    }
    BOOST_TEST(writes == 1U);
    BOOST_REQUIRE(port.answers.contains(1));
    BOOST_TEST((port.answers.at(1).answer.error == AnswerCode::InDoubt));
}

// Guards against replacing a healthy primary: its report waited behind a statement that took longer
// than the limit on its silence.
BOOST_AUTO_TEST_CASE(primary_that_works_on_a_long_statement_stays)
{
    port.suspicions.clear();
    auto write = request(1, StatementKind::Write);
    write.deadline = now + 3s;
    scheduler.submit(write, now);
    const auto work = takeSent("p");
    BOOST_REQUIRE(work.size() == 1U);
    for (int i = 0; i < 150; ++i) {
        wait(10ms);
        connectAll();
        // Replies follow the order of the commands, so none comes before that to the statement.
        std::erase_if(port.sent, [&](const auto &sent) { return sent.key == work.front().key; });
        for (const std::string server : {"p", "r1", "r2"})
            serve(server, {1, 100}, server == "p");
    }
    BOOST_TEST(port.promotions.empty());
    for (const auto &[server, suspected] : port.suspicions)
        BOOST_TEST(!suspected);
    reply(work.front().key, signedReply());
    BOOST_TEST(!port.answers.at(1).answer.error.has_value());
}

// Guards against taking a server for a replica because the error in reply to the rollback of a read
// took the place of the lost reply to the read.
BOOST_AUTO_TEST_CASE(error_of_a_rollback_says_nothing_about_the_read_before_it)
{
    scheduler.submit(request(1, StatementKind::Read), now);
    const auto key = takeSent("p").front().key;
    reply(key, successReply(TransactionState::Open));
    BOOST_REQUIRE((kinds("p") == std::vector{CommandKind::Read, CommandKind::Rollback}));
    takeSent("p");
    reply(key, error(AnswerCode::ReadOnly));
    BOOST_TEST(knowsPrimary());
    BOOST_TEST(port.retriedRequests.empty());
    BOOST_TEST(scheduler.counters().repliesWithheld == 1U);
    // With as many replies as commands, each is in its place.
    reply(key, successReply());
    BOOST_TEST(!knowsPrimary());
}

// Guards against stale reads: a server that isn't the primary refuses the begin of a probe, but
// accepts its rollback, whose reply must not show that it leads.
BOOST_AUTO_TEST_CASE(reply_to_the_rollback_of_a_probe_is_no_watermark)
{
    const auto sampledAt = scheduler.watermarks().newestAt();
    wait(450ms);
    const auto probe = takeSent("p");
    BOOST_REQUIRE(probe.size() == 1U);
    BOOST_REQUIRE((probe.front().commands.front().kind == CommandKind::Begin));
    reply(probe.front().key, successReply(TransactionState::None, {1, 100}));
    BOOST_TEST((scheduler.watermarks().newestAt() == sampledAt));
    BOOST_TEST((port.closed == std::vector{probe.front().key}));
}

// Guards against a statement outside of its transaction: a reply that shows no open transaction
// isn't that to a begin.
BOOST_AUTO_TEST_CASE(statement_does_not_follow_a_begin_without_a_transaction)
{
    scheduler.submit(request(1, StatementKind::Read), now);
    const auto key = takeSent("p").front().key;
    reply(key, successReply(TransactionState::None));
    BOOST_TEST((port.closed == std::vector{key}));
    const auto sent = kinds("p");
    BOOST_TEST(std::count(sent.begin(), sent.end(), CommandKind::Read) == 0);
}

// Guards against a write that runs twice: the reply to the preparation was lost, and the error in
// its place may be that of the write or of the preparation.
BOOST_AUTO_TEST_CASE(error_in_place_of_a_preparation_leaves_the_write_in_doubt)
{
    auto write = request(1, StatementKind::Write);
    write.values = std::make_shared<SessionValues>(SessionValues{{"zone", "nord"}});
    scheduler.submit(write, now);
    const auto key = takeSent("p").front().key;
    reply(key, error(AnswerCode::Busy));
    BOOST_REQUIRE(port.answers.contains(1));
    BOOST_TEST((port.answers.at(1).answer.error == AnswerCode::InDoubt));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(reply_sequence)

namespace {

ServerReply errorReply()
{
    ServerReply reply;
    reply.error = AnswerCode::Busy;
    return reply;
}

ServerReply statementReply()
{
    ServerReply reply;
    reply.signature = "signature";
    return reply;
}

constexpr std::array readAndRollback{ExpectedReply::Statement, ExpectedReply::ProxyRollback};

} // namespace

// Guards against waiting for the rollback before a result is delivered.
BOOST_AUTO_TEST_CASE(signed_reply_is_returned_at_once)
{
    ReplySequence replies;
    replies.sent(readAndRollback, TimePoint{});
    BOOST_TEST(replies.received(statementReply()));
    const auto match = replies.next();
    BOOST_REQUIRE(match.has_value());
    BOOST_TEST(!match->foreign);
    BOOST_TEST((match->command.kind == ExpectedReply::Statement));
    BOOST_TEST(replies.due() == 1U);
}

BOOST_AUTO_TEST_CASE(error_is_returned_once_all_replies_have_arrived)
{
    ReplySequence replies;
    replies.sent(readAndRollback, TimePoint{});
    BOOST_TEST(replies.received(errorReply()));
    BOOST_TEST(!replies.next().has_value());
    BOOST_TEST(replies.withheld() == 1U);
    BOOST_TEST(replies.received(ServerReply{}));
    // A command that is sent meanwhile makes the replies no less certain.
    constexpr auto begin = ExpectedReply::Begin;
    replies.sent({&begin, 1}, TimePoint{});
    BOOST_TEST((replies.next()->command.kind == ExpectedReply::Statement));
    BOOST_TEST((replies.next()->command.kind == ExpectedReply::ProxyRollback));
    BOOST_TEST(!replies.next().has_value());
    BOOST_TEST(!replies.empty());
}

BOOST_AUTO_TEST_CASE(error_without_further_commands_is_returned_at_once)
{
    ReplySequence replies;
    replies.sent(std::span(readAndRollback).first(1), TimePoint{});
    BOOST_TEST(replies.received(errorReply()));
    BOOST_TEST(replies.next()->reply.error.has_value());
    BOOST_TEST(replies.empty());
    BOOST_TEST(!replies.received(errorReply()));
}

// Guards against results of one statement that are given to another command.
BOOST_AUTO_TEST_CASE(signature_and_its_absence_show_a_lost_reply)
{
    for (const auto &[kind, reply] : {std::pair(ExpectedReply::Preparation, statementReply()),
                                      std::pair(ExpectedReply::Report, statementReply()),
                                      std::pair(ExpectedReply::Statement, ServerReply{}),
                                      std::pair(ExpectedReply::Begin, ServerReply{})}) {
        ReplySequence replies;
        replies.sent({&kind, 1}, TimePoint{});
        BOOST_TEST(replies.received(reply));
        BOOST_TEST(replies.next()->foreign);
    }
}

BOOST_AUTO_TEST_SUITE_END()
