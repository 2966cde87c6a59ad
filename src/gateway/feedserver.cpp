#include "gateway/feedserver.h"

namespace shallotwalk {

namespace {

using HoldTimeOver = caf::atom_constant<caf::atom("hold_over")>;

} // namespace

caf::behavior FeedServer::run(Broker *self, FeedServerContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior FeedServer::start(FeedServerContext context)
{
    context_ = std::move(context);
    self_->send(context_.directory, DirectoryRequest{});
    return {
        [this](const FeedLoaded &message) {
            serving_ = true;
            log_.loadRecords(message.items, message.revision);
            log_.setWatchConnected(true);
            answerHeld();
        },
        [this](const FeedChanged &message) {
            if (!serving_)
                return;
            log_.changeRecords(message.changes, message.revision);
            answerHeld();
        },
        [this](const FeedConnected &message) {
            if (!serving_)
                return;
            log_.setWatchConnected(message.connected);
            answerHeld();
        },
        [this](FeedStopped) {
            serving_ = false;
            log_.clear();
            refuseHeld();
        },
        [this](const FeedAsked &message) { return serve(message.request); },
        [this](HoldTimeOver) { endHeld(); },
        [this](DrainRequest) {
            refuseHeld();
            self_->quit();
        },
        [this](StateDumpRequest) { return dump(); },
        [this](MetricsRequest) { return metrics(); },
    };
}

caf::result<FeedAnswered> FeedServer::serve(const FeedRequest &request)
{
    if (!serving_) {
        ++refused_;
        return FeedAnswered{FeedLog::refusal(request)};
    }
    ++answered_;
    if (auto reply = log_.answer(request))
        return FeedAnswered{std::move(*reply)};
    if (held_.size() >= context_.heldLimit)
        return FeedAnswered{log_.emptyAnswer(request)};
    auto promise = self_->make_response_promise<FeedAnswered>();
    held_.push_back({request, context_.clock->now() + context_.holdTime, promise});
    self_->delayed_send(self_, context_.holdTime, HoldTimeOver::value);
    return promise;
}

void FeedServer::answerHeld()
{
    std::erase_if(held_, [this](Held &held) {
        auto reply = log_.answer(held.request);
        if (!reply)
            return false;
        held.promise.deliver(FeedAnswered{std::move(*reply)});
        return true;
    });
}

void FeedServer::endHeld()
{
    const auto now = context_.clock->now();
    std::erase_if(held_, [&](Held &held) {
        if (now < held.due)
            return false;
        held.promise.deliver(FeedAnswered{log_.emptyAnswer(held.request)});
        return true;
    });
}

void FeedServer::refuseHeld()
{
    for (auto &held : std::exchange(held_, {}))
        held.promise.deliver(FeedAnswered{FeedLog::refusal(held.request)});
}

StateDump FeedServer::dump() const
{
    return {boost::json::object{{"serving", serving_},
                                {"revision", toString(log_.revision())},
                                {"held", held_.size()},
                                {"answered", answered_},
                                {"refused", refused_}}};
}

MetricsText FeedServer::metrics() const
{
    return {metricText("shallotwalk_feed_answers_total", "counter",
                       "Requests of followers that were answered.", answered_)
            + metricText("shallotwalk_feed_refusals_total", "counter",
                         "Requests of followers that were refused because this proxy does not "
                         "watch the store.",
                         refused_)};
}

} // namespace shallotwalk
