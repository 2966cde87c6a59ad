#pragma once

#include "registry/messages.h"
#include "supervision/clock.h"
#include "wire/httpclient.h"

#include <boost/json/value.hpp>

#include <caf/event_based_actor.hpp>

#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// How to reach the store.
struct StoreClientSettings
{
    std::vector<HttpEndpoint> endpoints; ///< Tried in turn; at least one.
    Duration connectTimeout{std::chrono::milliseconds(300)};
    /// Bound of one call over all endpoints. Supervisors wait 1 s for a state dump.
    Duration callTimeout{std::chrono::milliseconds(900)};
    /// Longest accepted answer in bytes. 4,700 owner records take about 2 MB.
    std::size_t bodyLimit = std::size_t{16} * 1024 * 1024;
};

/// Carries out StoreRead and StoreCompareAndSwap one after the other with blocking calls of bounded
/// length. Must be spawned detached. Reads are repeated at the next endpoint. A swap goes to the
/// next endpoint only as long as no byte of it was sent; after that a missing answer gives
/// SwapStatus::Unknown and the swap is never repeated.
class StoreClient : public caf::event_based_actor
{
public:
    /// \pre \a settings names at least one endpoint.
    StoreClient(caf::actor_config &config, StoreClientSettings settings,
                std::shared_ptr<const Clock> clock);

    caf::behavior make_behavior() override;

private:
    /// Answer to one call, or why there is none.
    static HttpResponse noResponse();

    struct Outcome
    {
        HttpResponse response = noResponse(); ///< Status 0: no answer.
        Verdict verdict = Verdict::DidNotRun;
        std::string error;
    };

    /// How often a call may be sent.
    enum class Repetition { UntilAnswered, UntilSent };

    Outcome call(std::string_view path, std::string_view body, Repetition repetition);
    Outcome callEndpoint(std::string_view path, std::string_view body, TimePoint deadline);
    StoreReadReply read(const StoreRead &message);
    StoreCompareAndSwapReply swap(const StoreCompareAndSwap &message);
    bool expired(TimePoint deadline) const;
    boost::json::value state() const;

    StoreClientSettings settings_;
    std::shared_ptr<const Clock> clock_;
    std::vector<HttpClient> clients_;
    std::size_t current_ = 0; ///< The endpoint that answered last.
    std::uint64_t calls_ = 0;
    std::uint64_t failedCalls_ = 0;
    std::string lastError_;
};

} // namespace shallotwalk
