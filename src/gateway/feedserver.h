#pragma once

#include "core/feedlog.h"
#include "gateway/messages.h"
#include "supervision/supervision.h"

#include <caf/io/broker.hpp>
#include <caf/stateful_actor.hpp>

#include <memory>
#include <vector>

namespace shallotwalk {

/// Settings of a FeedServer.
struct FeedServerContext
{
    std::shared_ptr<const Clock> clock;
    caf::actor directory; ///< Is asked for a FeedLoaded after a restart.
    /// Time for which a request is held while nothing is new.
    Duration holdTime{std::chrono::milliseconds(1500)};
    /// Number of requests that are held at once. Further ones are answered without waiting.
    std::size_t heldLimit = 1000;
};

/// State of the broker that passes on what this proxy's watch of the store reports to the followers
/// of its data centre. While this proxy doesn't watch the store it refuses all requests.
class FeedServer
{
public:
    using Broker = caf::stateful_actor<FeedServer, MailboxClosingBroker>;

    explicit FeedServer(Broker *self)
        : self_(self)
    {
    }

    static caf::behavior run(Broker *self, FeedServerContext context);

    static inline const char *name = "feed-server";

private:
    struct Held
    {
        FeedRequest request;
        TimePoint due;
        caf::typed_response_promise<FeedAnswered> promise;
    };

    caf::behavior start(FeedServerContext context);
    caf::result<FeedAnswered> serve(const FeedRequest &request);
    void answerHeld();
    void endHeld();
    void refuseHeld();
    StateDump dump() const;
    MetricsText metrics() const;

    Broker *self_;
    FeedServerContext context_;
    FeedLog log_{0};
    bool serving_ = false;
    std::vector<Held> held_; ///< Oldest first.
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
};

} // namespace shallotwalk
