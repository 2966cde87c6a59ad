#include "wire/feedbody.h"

#include "wire/peercodec.h"

#include <boost/leaf/error.hpp>

namespace shallotwalk {

namespace {

boost::leaf::error_id malformed(std::string_view message)
{
    return boost::leaf::new_error(
        Failure{ErrorCode::BadRequest, Verdict::DidNotRun, "feed body: " + std::string(message)});
}

template<class Message>
Result<Message> decodeBody(std::string_view body)
{
    BOOST_LEAF_AUTO(payload, findPeerFrame(body, maxPeerFrameBytes));
    if (!payload || payload->size() + peerFrameHeaderBytes != body.size())
        return malformed("not exactly one frame");
    // Feed messages hold no times, so the receiver's time doesn't matter.
    BOOST_LEAF_AUTO(message, decodePeerPayload(std::as_bytes(std::span(*payload)), TimePoint{}));
    if (auto *wanted = std::get_if<Message>(&message))
        return std::move(*wanted);
    return malformed("a message of another kind");
}

} // namespace

Result<std::string> encodeFeedBody(const FeedRequest &request)
{
    return encodePeerFrame(request, TimePoint{});
}

Result<std::string> encodeFeedBody(const FeedReply &reply)
{
    return encodePeerFrame(reply, TimePoint{});
}

Result<FeedRequest> decodeFeedRequest(std::string_view body)
{
    return decodeBody<FeedRequest>(body);
}

Result<FeedReply> decodeFeedReply(std::string_view body)
{
    return decodeBody<FeedReply>(body);
}

} // namespace shallotwalk
