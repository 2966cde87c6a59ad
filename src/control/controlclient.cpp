#include "control/controlclient.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>

namespace shallotwalk {

namespace {

constexpr Duration connectTimeout = std::chrono::seconds(2);
// Longer than the proxy takes to resolve a lost answer of the store.
constexpr Duration callTimeout = std::chrono::seconds(20);
constexpr std::size_t bodyLimit = std::size_t{64} * 1024 * 1024;

} // namespace

ControlClient::ControlClient(HttpEndpoint address, std::string key)
    : client_(std::move(address), bodyLimit)
    , key_(std::move(key))
{
}

Result<ControlAnswer> ControlClient::call(std::string_view method, std::string_view target,
                                          std::string_view body, std::string_view ifMatch)
{
    std::vector<HttpHeader> headers;
    if (!key_.empty())
        headers.emplace_back("Authorization", "Bearer " + key_);
    if (!ifMatch.empty())
        headers.emplace_back("If-Match", std::string(ifMatch));
    const auto now = clock_.now();
    BOOST_LEAF_AUTO(response, client_.request(method, target, body, now + connectTimeout,
                                              now + callTimeout, headers));
    ControlAnswer answer;
    answer.status = response.status;
    boost::json::error_code error;
    answer.body = boost::json::parse(response.body, error);
    if (error) {
        return boost::leaf::new_error(Failure{ErrorCode::Internal, Verdict::MayHaveRun,
                                              "the answer is not JSON: " + error.message()});
    }
    return answer;
}

} // namespace shallotwalk
