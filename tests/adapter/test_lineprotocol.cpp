#include "platform/lineprotocol.h"
#include "platform/linereader.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace shallotwalk;
using namespace shallotwalk::platform;

namespace {

std::vector<ClientMessage> decodeClient(std::string_view bytes, std::size_t chunk = 1000000)
{
    LineProtocol protocol;
    const auto decoder = protocol.makeClientDecoder();
    std::vector<ClientMessage> messages;
    for (std::size_t i = 0; i < bytes.size(); i += chunk) {
        const auto part = bytes.substr(i, chunk);
        decoder->append(std::span(part.data(), part.size()));
        while (auto message = decoder->next())
            messages.push_back(std::move(*message));
    }
    return messages;
}

std::vector<ServerMessage> decodeServer(std::string_view bytes)
{
    LineProtocol protocol;
    const auto decoder = protocol.makeServerDecoder();
    decoder->append(std::span(bytes.data(), bytes.size()));
    std::vector<ServerMessage> messages;
    while (auto message = decoder->next())
        messages.push_back(std::move(*message));
    return messages;
}

std::string encodeCommand(const ServerCommand &command)
{
    std::string out;
    LineProtocol().encode(command, out);
    return out;
}

const SessionStatement &statement(const ClientMessage &message)
{
    return std::get<SessionStatement>(message);
}

} // namespace

BOOST_AUTO_TEST_SUITE(line_protocol)

BOOST_AUTO_TEST_CASE(client_messages_are_decoded_from_chunks_of_any_size)
{
    constexpr std::string_view bytes = "START slots u3f1\r\n"
                                       "QUERY a1 BEGIN READ\r\n"
                                       "QUERY a2 READ 1a4\r\n"
                                       "QUERY a3 WRITE 1a4 some data\r\n"
                                       "QUERY a4 SET zone nord west\r\n"
                                       "QUERY a5 PREPARE s1 WRITE q2c\r\n"
                                       "QUERY a6 EXEC s1 1a4 data\r\n"
                                       "QUERY a7 DEALLOC s1\r\n"
                                       "QUERY a8 COMMIT\r\n"
                                       "BYE\r\n";
    for (const std::size_t chunk : {1, 7, 1000}) {
        const auto messages = decodeClient(bytes, chunk);
        BOOST_REQUIRE(messages.size() == 10);
        BOOST_TEST(std::get<SessionOpening>(messages[0]).database == "slots");
        BOOST_TEST(statement(messages[1]).readOnly);
        BOOST_TEST(statement(messages[2]).text == "1a4");
        BOOST_TEST(statement(messages[3]).text == "1a4 some data");
        BOOST_TEST(statement(messages[4]).text == "nord west");
        BOOST_TEST(statement(messages[5]).text == "q2c");
        BOOST_TEST(!statement(messages[5]).readOnly);
        BOOST_TEST(statement(messages[6]).name == "s1");
        BOOST_TEST(statement(messages[6]).text == "1a4 data");
        BOOST_TEST((statement(messages[8]).kind == StatementKind::Commit));
        BOOST_TEST(std::holds_alternative<SessionClosing>(messages[9]));
    }
}

// Guards against a client that changes what a server runs, for example with AFTER or STATUS, or
// that uses "-", the id of the proxy's own commands.
BOOST_AUTO_TEST_CASE(malformed_statements_are_reported)
{
    for (const std::string_view text :
         {"QUERY - STATUS\r\n", "QUERY a1 STATUS\r\n", "QUERY a1 AFTER 1.2 READ 1a4\r\n",
          "QUERY a1 BEGIN WRITE\r\n", "QUERY a1 READ\r\n", "QUERY a1\r\n", "QUERY\r\n",
          "QUERY a1 PREPARE s1 MAYBE q\r\n", "QUERY a1 COMMIT now\r\n"}) {
        const auto messages = decodeClient(text);
        BOOST_REQUIRE(messages.size() == 1);
        BOOST_TEST(std::holds_alternative<InvalidMessage>(messages[0]), text);
        BOOST_TEST(!std::get<InvalidMessage>(messages[0]).fatal, text);
    }
    BOOST_TEST(std::get<InvalidMessage>(decodeClient("HELLO\r\n")[0]).fatal);
}

// Guards against a client that exhausts the memory with one very long message.
BOOST_AUTO_TEST_CASE(overlong_message_is_fatal)
{
    const auto messages = decodeClient("QUERY a1 WRITE " + std::string(maxMessageBytes + 1, 'x'));
    BOOST_REQUIRE(messages.size() == 1);
    const auto &invalid = std::get<InvalidMessage>(messages[0]);
    BOOST_TEST(invalid.fatal);
    BOOST_TEST((invalid.code == AnswerCode::TooBig));
}

// Guards against a statement that is smuggled inside another one: a line feed within the text ended
// the message, and the rest ran as a message of its own.
BOOST_AUTO_TEST_CASE(only_cr_lf_ends_a_client_message)
{
    using namespace std::string_view_literals;
    for (const auto text : {"item-1\nQUERY a2 WRITE item-1 second"sv,
                            "item-1\rQUERY a2 WRITE item-1 second"sv, "item-1 two\n\rlines"sv,
                            "item-1 ends with\n"sv, "item-1 ends with\r"sv, "item-1\0second"sv}) {
        const auto bytes = "QUERY a1 WRITE " + std::string(text) + "\r\nQUERY a3 READ item-2\r\n";
        for (const std::size_t chunk : {std::size_t{1}, std::size_t{7}, bytes.size()}) {
            const auto messages = decodeClient(bytes, chunk);
            BOOST_REQUIRE(messages.size() == 2);
            BOOST_TEST(statement(messages[0]).id == "a1");
            BOOST_TEST(statement(messages[0]).text == text);
            BOOST_TEST(statement(messages[1]).id == "a3");
        }
    }
    BOOST_TEST(decodeClient("QUERY a1 READ item-1\n").empty());
}

// Guards against a line feed in a statement that is lost or doubled on the way to the server.
BOOST_AUTO_TEST_CASE(text_with_line_feeds_is_forwarded_unchanged)
{
    const auto messages = decodeClient("QUERY a1 WRITE item-1 two\nlines\rand more\r\n");
    BOOST_REQUIRE(messages.size() == 1);
    ServerCommand command{CommandKind::Write, statement(messages[0]).id};
    command.text = statement(messages[0]).text;
    BOOST_TEST(encodeCommand(command) == "QUERY a1 WRITE item-1 two\nlines\rand more\r\n");
}

// Guards against an answer with other rows: a line feed in the data of a row split the row.
BOOST_AUTO_TEST_CASE(only_cr_lf_ends_a_line_of_a_server)
{
    const auto messages =
        decodeServer("READY I -\r\n"
                     "ROW two\nREADY I -\rlines\r\nDONE 7.1f3\r\nREADY I 3.7\r\n");
    BOOST_REQUIRE(messages.size() == 2);
    const auto &read = std::get<ServerReply>(messages[1]);
    BOOST_REQUIRE(read.rows.size() == 1);
    BOOST_TEST(read.rows[0] == "two\nREADY I -\rlines");
    BOOST_TEST(read.signature == "7.1f3");
}

// Guards against a message over the limit that passes because its end arrives in the same read as
// the bytes beyond the limit.
BOOST_AUTO_TEST_CASE(limit_of_a_message_counts_its_end)
{
    const std::string head = "QUERY a1 WRITE ";
    const auto longest = head + std::string(maxMessageBytes - head.size() - 2, 'x') + "\r\n";
    BOOST_REQUIRE(decodeClient(longest).size() == 1);
    BOOST_TEST(std::holds_alternative<SessionStatement>(decodeClient(longest)[0]));
    const auto messages = decodeClient(head + std::string(maxMessageBytes, 'x') + "\r\n");
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST((std::get<InvalidMessage>(messages[0]).code == AnswerCode::TooBig));
}

BOOST_AUTO_TEST_CASE(replies_of_servers_are_decoded)
{
    const auto messages = decodeServer("READY I 3.1207\r\n"
                                       "ROW qhz kwm\r\nROW two\r\nDONE 7.1f3\r\nREADY T 3.1209\r\n"
                                       "ERR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n"
                                       "DONE -\r\nREADY I -\r\n");
    BOOST_REQUIRE(messages.size() == 4);
    const auto &opened = std::get<ServerReply>(messages[0]);
    BOOST_TEST((*opened.position == Position{3, 1207}));
    const auto &read = std::get<ServerReply>(messages[1]);
    BOOST_TEST(read.rows.size() == 2);
    BOOST_TEST(read.rows[0] == "qhz kwm");
    BOOST_TEST(read.signature == "7.1f3");
    BOOST_TEST((read.state == TransactionState::Open));
    const auto &failed = std::get<ServerReply>(messages[2]);
    BOOST_TEST((failed.error == AnswerCode::ReadOnly));
    BOOST_TEST((failed.state == TransactionState::Failed));
    BOOST_TEST(std::get<ServerReply>(messages[3]).signature.empty());
}

// Guards against a refused opening that is never reported: a server sends ERR without a READY after
// it, so ERR alone has to complete the reply.
// Guards against a reply that is made of an answer that was cut off and the next one. Its error
// would assure a client that a statement which ran did not run, or its signature would be wrong.
BOOST_AUTO_TEST_CASE(answer_that_was_cut_off_is_no_part_of_the_next)
{
    for (const std::string cut :
         {"DONE 7.1f3.c\r\nERR BUSY\r\nREADY I 1.2\r\n", "DONE 7.1f3.cDONE -\r\nREADY I 1.2\r\n",
          "ERR BUSY\r\nDONE 7.1f3.c\r\nREADY I 1.2\r\n", "DONE -\r\nROW x\r\nDONE 7.1f3.c\r\n",
          "ROW xDONE 7.1f3.c\r\nREADY I 1.2\r\n", "DONE 7.1f3.c\r\nREADY I 1.ERR BUSY\r\n"}) {
        const auto messages = decodeServer("READY I -\r\n" + cut);
        BOOST_REQUIRE_MESSAGE(messages.size() == 2, cut);
        BOOST_TEST(std::holds_alternative<InvalidMessage>(messages.back()), cut);
    }
}

BOOST_AUTO_TEST_CASE(refused_opening_is_a_reply)
{
    const auto messages = decodeServer("ERR TOOMANY 16\r\n");
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST((std::get<ServerReply>(messages[0]).error == AnswerCode::TooManyClients));
}

BOOST_AUTO_TEST_CASE(report_of_a_server_is_recognised)
{
    const auto messages = decodeServer(
        "READY I 3.1\r\nROW replica 3 3.1209 0 12 2 17\r\nDONE -\r\nREADY I 3.1204\r\n");
    const auto &reply = std::get<ServerReply>(messages.at(1));
    BOOST_REQUIRE(reply.report.has_value());
    BOOST_TEST(!reply.report->primary);
    BOOST_TEST(reply.report->term == 3);
    BOOST_TEST((reply.report->received == Position{3, 1209}));
    BOOST_TEST(reply.report->pausedUntilTerm == 0U);
}

// Guards against an unknown error code that is taken as the server's assurance that the statement
// did not run.
BOOST_AUTO_TEST_CASE(unknown_code_does_not_assert_that_nothing_ran)
{
    const auto messages = decodeServer("READY I -\r\nERR WHATEVER x\r\nREADY I 1.2\r\n");
    const auto code = *std::get<ServerReply>(messages.at(1)).error;
    BOOST_TEST((code == AnswerCode::Unknown));
    BOOST_TEST(!impliesDidNotRun(code));
    SessionAnswer answer;
    answer.error = code;
    std::string out;
    LineProtocol().encode(answer, out);
    BOOST_TEST(out == "ERR FAILED\r\nREADY I -\r\n");
}

BOOST_AUTO_TEST_CASE(commands_carry_id_and_text_unchanged)
{
    BOOST_TEST(encodeCommand({CommandKind::Read, "5c0e", Position{3, 1207}, false, {}, "1a4"})
               == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
    BOOST_TEST(encodeCommand({CommandKind::Write, "5c0e", {}, false, {}, "1a4 some data"})
               == "QUERY 5c0e WRITE 1a4 some data\r\n");
    BOOST_TEST(encodeCommand({CommandKind::Execute, "5c0e", {}, false, "r71", "1a4"})
               == "QUERY 5c0e EXEC r71 1a4\r\n");
    BOOST_TEST(encodeCommand({CommandKind::BeginReadOnly, {}, Position{1, 2}})
               == "QUERY - AFTER 1.2 BEGIN READ\r\n");
    BOOST_TEST(encodeCommand({CommandKind::Prepare, {}, {}, true, "r71", "q"})
               == "QUERY - PREPARE r71 READ q\r\n");
    BOOST_TEST(encodeCommand({CommandKind::Pause, {}, {}, false, {}, {}, 4})
               == "QUERY - PAUSE 4\r\n");
    BOOST_TEST(encodeCommand({CommandKind::Resume, {}}) == "QUERY - RESUME\r\n");
    ServerCommand demote{CommandKind::Demote, {}};
    demote.term = 4;
    BOOST_TEST(encodeCommand(demote) == "QUERY - DEMOTE 4\r\n");
}

// Guards against a pause report that the proxy doesn't recognise: it would wait for the pause
// forever.
BOOST_AUTO_TEST_CASE(report_of_a_paused_replica_is_recognised)
{
    const auto messages = decodeServer(
        "READY I 3.1\r\nROW replica 3 3.1209 4 12 2 17\r\nDONE -\r\nREADY I 3.1204\r\n");
    BOOST_TEST(std::get<ServerReply>(messages.at(1)).report.value().pausedUntilTerm == 4U);
}

// Guards against an error text whose line breaks forge a further message.
BOOST_AUTO_TEST_CASE(line_breaks_in_an_error_text_are_replaced)
{
    std::string out;
    LineProtocol().encodeRefusal(AnswerCode::NoDatabase, "a\r\nREADY I -", out);
    BOOST_TEST(out == "ERR NODB a  READY I -\r\n");
}

// Guards against decoders that crash or loop forever on malformed input.
BOOST_AUTO_TEST_CASE(decoders_handle_random_input)
{
    std::mt19937 random(7);
    const std::vector<std::string> words{"QUERY",
                                         "START",
                                         "READY",
                                         "ROW",
                                         "DONE",
                                         "ERR",
                                         " ",
                                         "\r\n",
                                         "\n",
                                         "a1",
                                         "I",
                                         "3.1",
                                         "-",
                                         "EXEC",
                                         "READ",
                                         "\x01x",
                                         "9999999999999999999999.1"};
    for (int run = 0; run < 2000; ++run) {
        std::string bytes;
        for (int i = 0; i < 30; ++i)
            bytes += words[random() % words.size()];
        decodeClient(bytes, 1 + random() % 9);
        decodeServer(bytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()
