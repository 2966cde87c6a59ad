#include "frontend/requestlog.h"
#include "supervision/jsonlogformatter.h"
#include "supervision/logvalue.h"
#include "supervision/ratelimitsink.h"

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <sstream>

using namespace shallotwalk;

namespace {

/// Sink that keeps the text of the lines.
std::shared_ptr<spdlog::sinks::sink> textSink(std::ostream &stream)
{
    auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(stream);
    sink->set_pattern("%l %v");
    return sink;
}

void logAt(spdlog::sinks::sink &sink, int second, std::string_view text,
           spdlog::level::level_enum level = spdlog::level::info)
{
    const spdlog::log_clock::time_point time{std::chrono::seconds(second)};
    sink.log(spdlog::details::log_msg(time, {}, "test", level, {text.data(), text.size()}));
}

std::string formatJson(std::string_view text)
{
    spdlog::memory_buf_t buffer;
    JsonLogFormatter("entry1").format(spdlog::details::log_msg(spdlog::log_clock::time_point{}, {},
                                                               "test", spdlog::level::warn,
                                                               {text.data(), text.size()}),
                                      buffer);
    return {buffer.data(), buffer.size()};
}

} // namespace

// Guards against a flood of equal lines, and against floods whose extent is lost.
BOOST_AUTO_TEST_CASE(equal_lines_are_limited_and_counted)
{
    std::ostringstream text;
    RateLimitSink sink(textSink(text), 2);
    const std::string kind = "event=request error=queue_full verdict=did_not_run ";
    for (int i = 0; i < 5; ++i)
        logAt(sink, 1, kind + "request=" + std::to_string(i));
    logAt(sink, 1, "event=other");
    logAt(sink, 1, "event=other", spdlog::level::debug);
    logAt(sink, 1, "event=other", spdlog::level::debug);
    logAt(sink, 2, "event=later");
    BOOST_TEST(text.str()
               == "info " + kind + "request=0\ninfo " + kind
                      + "request=1\ninfo event=other\ndebug event=other\ndebug event=other\n"
                        "info event=lines_left_out count=3 "
                        "beginning=\"event=request error=queue_full verdict=d\"\n"
                        "info event=later\n");
}

// Guards against text of callers that forges pairs or lines.
BOOST_AUTO_TEST_CASE(values_from_outside_are_quoted)
{
    BOOST_TEST(logValue("hauler-1") == "hauler-1");
    BOOST_TEST(logValue("") == "\"\"");
    BOOST_TEST(logValue("12") == "\"12\"");
    BOOST_TEST(logValue("a verdict=ran") == "\"a verdict=ran\"");
    BOOST_TEST(logValue("a\nb\"c\\") == "\"a b\\\"c\\\\\"");
}

// Guards against JSON lines that hold the pairs as one text, or lose their own members.
BOOST_AUTO_TEST_CASE(pairs_become_json_members)
{
    const auto line = formatJson("event=x level=forged duration_ms=1.5 epoch=7 error="
                                 + logValue("a \"b\"") + " id=\"12\" free text");
    BOOST_TEST(line
               == R"({"time":"1970-01-01T00:00:00.000Z","level":"warning","vm":"entry1",)"
                  R"("event":"x","duration_ms":1.5E0,"epoch":7,"error":"a \"b\"","id":"12",)"
                  R"("message":"free text"})"
                  "\n");
}

// Guards against requests that leave no trace, and against secrets in the log.
BOOST_AUTO_TEST_CASE(failed_requests_are_logged_without_their_content)
{
    std::ostringstream text;
    const auto former = spdlog::default_logger();
    spdlog::set_default_logger(std::make_shared<spdlog::logger>("test", textSink(text)));
    StatementRequest request;
    request.requestId = "7-1";
    request.caller = "hauler 1";
    request.route = "bookings";
    request.pool = "slots-nord";
    request.sql = "SECRET-sql";
    request.parameters = {"SECRET-parameter"};
    request.requestKey = "SECRET-key";
    const Failure failure{ErrorCode::QueueFull, Verdict::DidNotRun, "SECRET-message"};
    logRequest(request, &failure, std::chrono::microseconds(2500));
    logRequest(request, nullptr, std::chrono::microseconds(2500));
    const std::string fields = "request=7-1 caller=\"hauler 1\" route=bookings pool=slots-nord "
                               "duration_ms=2.5\n";
    const auto failed = "info event=request error=queue_full verdict=did_not_run " + fields;
    BOOST_TEST(text.str() == failed);
    spdlog::set_level(spdlog::level::debug);
    logRequest(request, nullptr, std::chrono::microseconds(2500));
    BOOST_TEST(text.str() == failed + "debug event=request error=none verdict=ran " + fields);
    spdlog::set_default_logger(former);
}
