#include "wire/wire.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include <random>

using namespace shallotwalk;

namespace {

std::span<const char> bytes(std::string_view text)
{
    return {text.data(), text.size()};
}

constexpr std::string_view writeRequest =
    "POST /v1/slots/nord/statement HTTP/1.1\r\nHost: proxy\r\nShallotwalk-Caller: hauler1\r\n"
    "Idempotency-Key: 1-a\r\nContent-Length: 71\r\n\r\n"
    "{\"sql\":\"INSERT INTO t VALUES ($1)\",\"parameters\":[\"x\"],\"access\":\"write\"}";

Failure decodeFailure(const HttpRequest &request, const SessionCodec &sessions)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Failure> {
            BOOST_LEAF_CHECK(decodeStatementRequest(request, sessions, TimePoint{}));
            BOOST_ERROR("decoded");
            return Failure{};
        },
        [](const Failure &failure) { return failure; }, [] { return Failure{}; });
}

std::optional<StatementRequest> decoded(const HttpRequest &request, const SessionCodec &sessions)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<StatementRequest>> {
            BOOST_LEAF_AUTO(statement, decodeStatementRequest(request, sessions, TimePoint{}));
            return std::optional<StatementRequest>(std::move(statement));
        },
        [] { return std::optional<StatementRequest>(); });
}

} // namespace

// Guards against requests that are cut at the boundaries of received segments.
BOOST_AUTO_TEST_CASE(request_arriving_byte_by_byte_is_decoded)
{
    HttpRequestParser parser;
    std::optional<HttpRequest> request;
    for (const char byte : writeRequest) {
        BOOST_REQUIRE(!request);
        parser.append(std::span(&byte, 1));
        request = parser.next();
    }
    BOOST_REQUIRE(request);
    const auto statement = decoded(*request, SessionCodec("key"));
    BOOST_REQUIRE(statement);
    BOOST_TEST((statement->access == Access::Write));
    BOOST_TEST(statement->requestKey.value() == "1-a");
    BOOST_TEST(statement->parameters.at(0).value() == "x");
}

// Guards against a request that is smuggled inside another one, by a line feed that one reader
// takes for the end of a line and another doesn't.
BOOST_AUTO_TEST_CASE(only_cr_lf_ends_a_line_of_a_request)
{
    for (const std::string_view text :
         {"GET /metrics HTTP/1.1\nHost: proxy\n\n", "GET /metrics HTTP/1.1\r\nHost: proxy\n\r\n",
          "GET /metrics HTTP/1.1\r\nHost: a\rb\r\n\r\n",
          "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\n12345\r\n0\r\n\r\n"}) {
        HttpRequestParser parser;
        parser.append(bytes(text));
        BOOST_TEST(!parser.next().has_value(), text);
    }
}

// Guards against pipelined requests that are lost or answered out of order.
BOOST_AUTO_TEST_CASE(pipelined_requests_come_one_by_one)
{
    HttpRequestParser parser;
    parser.append(bytes(std::string(writeRequest) + std::string(writeRequest)));
    BOOST_TEST(parser.next().has_value());
    BOOST_TEST(parser.next().has_value());
    BOOST_TEST(!parser.next().has_value());
    BOOST_TEST(!parser.inRequest());
}

// Guards against unbounded memory for one request.
BOOST_AUTO_TEST_CASE(over_long_header_and_body_are_refused)
{
    HttpRequestParser longHeader;
    longHeader.append(bytes("GET / HTTP/1.1\r\nX: " + std::string(20000, 'a') + "\r\n\r\n"));
    BOOST_TEST(!longHeader.next());
    BOOST_TEST(longHeader.error().value().status == 431U);
    HttpRequestParser longBody;
    longBody.append(bytes("POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n"));
    BOOST_TEST(!longBody.next());
    BOOST_TEST(longBody.error().value().status == 413U);
}

// Guards against a decoder that crashes or hangs on malformed input.
BOOST_AUTO_TEST_CASE(mutated_requests_never_crash_the_decoder)
{
    std::mt19937_64 random(20261204);
    const SessionCodec sessions("key");
    for (int round = 0; round < 5000; ++round) {
        std::string text(writeRequest);
        for (int change = 0; change < 5; ++change)
            text[random() % text.size()] = static_cast<char>(random());
        HttpRequestParser parser;
        parser.append(bytes(text));
        if (const auto request = parser.next())
            decoded(*request, sessions);
    }
}

// Guards against unclear answers to malformed bodies; nothing of them may run.
BOOST_AUTO_TEST_CASE(malformed_bodies_are_refused_with_a_reason)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/slots/nord/statement";
    request.headers = {{"Shallotwalk-Caller", "hauler1"}};
    const SessionCodec sessions("key");
    for (const std::string_view body :
         {"{", "[]", "{\"sql\":1}", "{\"sql\":\"x\",\"acess\":\"read\"}", "",
          "{\"sql\":\"x\",\"access\":\"delete\"}", "{\"sql\":\"x\",\"parameters\":[[]]}"}) {
        request.body = body;
        const auto failure = decodeFailure(request, sessions);
        BOOST_TEST((failure.code == ErrorCode::BadRequest), body);
        BOOST_TEST((failure.verdict == Verdict::DidNotRun), body);
        BOOST_TEST(!failure.message.empty(), body);
    }
}

// Guards against callers that forge or alter the positions that they carry.
BOOST_AUTO_TEST_CASE(altered_session_cookies_are_refused)
{
    const SessionCodec sessions("key");
    SessionState state;
    state.observe("nord", {3, 4711});
    state.observe("sud", {1, 12});
    const auto value = sessions.encode(state);
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/slots/nord/statement";
    request.body = "{\"sql\":\"x\"}";
    request.headers = {{"Shallotwalk-Caller", "hauler1"},
                       {"Cookie", "a=b; shallotwalk-session=" + value}};
    const auto statement = decoded(request, sessions);
    BOOST_REQUIRE(statement);
    BOOST_TEST((statement->session.positions() == state.positions()));
    for (std::size_t i = 0; i < value.size(); ++i) {
        auto altered = value;
        altered[i] = altered[i] == '0' ? '1' : '0';
        request.headers[1].second = "shallotwalk-session=" + altered;
        BOOST_TEST((decodeFailure(request, sessions).code == ErrorCode::SessionStateInvalid));
    }
    request.headers[1].second = "shallotwalk-session=" + value;
    BOOST_TEST(
        (decodeFailure(request, SessionCodec("other")).code == ErrorCode::SessionStateInvalid));
}
