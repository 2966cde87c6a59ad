#include "gateway/directoryactor.h"

#include "gateway/gatewaytree.h"
#include "gateway/httpcaller.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

/// Shortest time between two reviews of the source.
constexpr Duration sourceReviewInterval = std::chrono::milliseconds(50);

} // namespace

/// Does what the source has due, and schedules the next review.
void DirectoryActor::reviewSource()
{
    if (!listed_)
        return;
    const auto now = context_.clock->now();
    source_->tick(now);
    updateWatching();
    if (auto request = source_->takeRequest(now))
        askWatcher(std::move(*request));
    const auto next = source_->nextDue();
    if (next == TimePoint::max())
        return;
    const auto due = std::max(next, now + sourceReviewInterval);
    if (due >= sourceDueAt_)
        return;
    sourceDueAt_ = due;
    self_->delayed_send(self_, due - now, ReviewSource::value);
}

void DirectoryActor::updateWatching()
{
    const bool watching = source_->watchesStore();
    if (watching == watching_)
        return;
    watching_ = watching;
    spdlog::info("event=store_source watching={} watcher={} revision={}", watching,
                 logValue(source_->watcher()), toString(source_->revision()));
    if (!watching) {
        self_->send(context_.feed, FeedStopped{});
        return;
    }
    loadFeed();
    if (!storeCallInProgress_)
        continueWatching();
}

void DirectoryActor::loadFeed()
{
    self_->send(context_.feed, FeedLoaded{source_->items(), source_->revision()});
}

void DirectoryActor::askWatcher(SourceRequest request)
{
    const auto watcher = request.watcher.vm;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            HttpCall call;
            call.method = "POST";
            call.target = feedPath;
            BOOST_LEAF_ASSIGN(call.body, encodeFeedBody(request.request));
            call.contentType = feedContentType;
            call.endpoint = HttpEndpoint{request.watcher.host, request.watcher.port};
            call.timeout = request.timeout;
            const auto limit = request.timeout + context_.callTimeout + HttpCaller::transferLimit;
            self_->request(context_.feedCaller, limit, HttpCallRequest{std::move(call)})
                .then([this,
                       watcher](const HttpCallResult &result) { handleResult(watcher, result); },
                      [this, watcher](const caf::error &error) {
                          watcherFailed(watcher, self_->system().render(error));
                      });
            return {};
        },
        [&](const Failure &failure) { watcherFailed(watcher, failure.message); },
        [&] { watcherFailed(watcher, "unknown error"); });
}

void DirectoryActor::handleResult(const std::string &watcher, const HttpCallResult &result)
{
    if (result.response.status != 200) {
        watcherFailed(watcher, result.response.status == 0
                                   ? result.error
                                   : "status " + std::to_string(result.response.status));
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(reply, decodeFeedReply(result.response.body));
            handleReply(watcher, std::move(reply));
            return {};
        },
        [&](const Failure &failure) { watcherFailed(watcher, failure.message); },
        [&] { watcherFailed(watcher, "unknown error"); });
}

void DirectoryActor::handleReply(const std::string &watcher, FeedReply reply)
{
    // A watcher of an older version passes the configuration on as it stands in the store.
    for (auto &change : reply.records.changes)
        removeKeys(change.entry);
    const auto now = context_.clock->now();
    const auto era = source_->revision().era();
    const auto news = source_->answered(watcher, reply, now);
    if (source_->revision().era() != era) {
        directory_.storeRestored(now);
        noteEra(source_->revision().era());
    }
    // What the watcher knows of the store decides whether missing entries are kept, so it comes
    // before the changes. A watch of this proxy's own shows more than that of a watcher.
    if (reply.answer == FeedAnswer::Watching)
        handleStoreAnswer();
    else if (reply.answer == FeedAnswer::WatchLost && !watching_)
        handleStoreFailure("feed", "the watcher has lost its watch");
    applyNews(news);
    publish();
    scheduleExpiry();
}

void DirectoryActor::watcherFailed(const std::string &watcher, std::string_view error)
{
    spdlog::info("event=watcher_failed watcher={} error={}", logValue(watcher), logValue(error));
    source_->failed(watcher, context_.clock->now());
    reviewSource();
}

void DirectoryActor::applyNews(std::span<const KeyValue> news)
{
    for (const auto &item : news) {
        if (item.modRevision == StoreRevision())
            applyRemoval(item.key);
        else
            applyItem(item);
    }
}

} // namespace shallotwalk
