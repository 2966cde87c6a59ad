#include "wire/wire.h"

#include <boost/leaf/handle_errors.hpp>

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;

namespace {

std::string encoded(const auto &message)
{
    return boost::leaf::try_handle_all([&] { return encodeFeedBody(message); },
                                       [] { return std::string(); });
}

/// Why \a body is no request; empty if it is one.
std::string problemOf(std::string_view body)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_CHECK(decodeFeedRequest(body));
            return std::string();
        },
        [](const Failure &failure) { return failure.message; },
        [] { return std::string("unknown"); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(feed_body)

// Guards against a change of the store that is altered on its way to a follower. Keys and values of
// other writers may hold any bytes.
BOOST_AUTO_TEST_CASE(reply_keeps_its_changes)
{
    FeedReply reply;
    reply.id = 9;
    reply.answer = FeedAnswer::WatchLost;
    reply.records.changes = {{{"servers/\xff", std::string("\0{", 2), 4}, false},
                             {{"servers/b", "", 5}, true}};
    reply.records.next = {0, 5, 0};
    const auto decoded = boost::leaf::try_handle_all(
        [&] { return decodeFeedReply(encoded(reply)); }, [] { return FeedReply{}; });
    BOOST_TEST(decoded.id == 9U);
    BOOST_TEST((decoded.answer == FeedAnswer::WatchLost));
    BOOST_TEST((decoded.records == reply.records));
}

// Guards against bodies that are accepted although a part is missing, doubled or of another kind.
BOOST_AUTO_TEST_CASE(malformed_bodies_are_refused)
{
    FeedRequest request;
    request.id = 3;
    const auto body = encoded(request);
    BOOST_TEST(problemOf(body).empty());
    BOOST_TEST(!problemOf("").empty());
    BOOST_TEST(!problemOf("{}").empty());
    BOOST_TEST(!problemOf(body + body).empty());
    BOOST_TEST(!problemOf(encoded(FeedReply{})).empty());
    BOOST_TEST(!problemOf(std::string("\xff\xff\xff\xff", 4) + body).empty());
    for (std::size_t size = 1; size < body.size(); ++size)
        BOOST_TEST(!problemOf(std::string_view(body).substr(0, size)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
