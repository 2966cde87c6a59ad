#pragma once

#include "core/core.h"
#include "databases/messages.h"
#include "databases/ownershipmessages.h"
#include "peers/messages.h"
#include "registry/messages.h"
#include "wire/wire.h"

#include <boost/leaf/handle_errors.hpp>

#include <caf/actor_system_config.hpp>
#include <caf/event_based_actor.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <vector>

namespace shallotwalk {

/// \a config with the scheduler policy of shallotwalkd.
inline caf::actor_system_config &sharingConfig(caf::actor_system_config &config)
{
    config.set("scheduler.policy", caf::atom("sharing"));
    return config;
}

/// A clock that only the test moves. Thread-safe.
class SteppedClock : public Clock
{
public:
    TimePoint now() const override { return TimePoint(Duration(micros_.load())); }
    void advance(Duration step) { micros_ += step.count(); }

private:
    std::atomic<Duration::rep> micros_{100'000'000};
};

/// One owner record in the store, and how swaps of it are treated. Thread-safe.
class FakeRecord
{
public:
    enum class Mode {
        Answer,
        LoseAnswer, ///< Swaps take effect without an answer.
        Hold,       ///< Swaps get no answer and take effect at applyHeld().
    };

    struct Swap
    {
        OwnerRecord record;
        std::int64_t expectedRevision = 0;
    };

    void setMode(Mode mode)
    {
        const std::lock_guard lock(mutex_);
        mode_ = mode;
    }

    /// Takes a swap; without a value it isn't answered.
    std::optional<StoreCompareAndSwapReply> swap(const StoreCompareAndSwap &call)
    {
        const std::lock_guard lock(mutex_);
        const Swap swap{decode(call.value), call.expectedRevision};
        swaps_.push_back(swap);
        if (mode_ == Mode::Hold) {
            held_.push_back(swap);
            return std::nullopt;
        }
        StoreCompareAndSwapReply reply;
        reply.status = apply(swap) ? SwapStatus::Swapped : SwapStatus::Conflict;
        reply.revision = revision_;
        if (mode_ == Mode::LoseAnswer)
            return std::nullopt;
        return reply;
    }

    StoreReadReply read(const std::string &key) const
    {
        const std::lock_guard lock(mutex_);
        StoreReadReply reply;
        reply.ok = true;
        reply.revision = revision_;
        if (record_) {
            KeyValue value;
            value.key = key;
            value.value = encodeOwnerRecord(*record_);
            value.modRevision = revision_;
            reply.values.push_back(value);
        }
        return reply;
    }

    /// The held swaps take effect, in order, as far as their expected revision is still in place.
    void applyHeld()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &swap : held_)
            apply(swap);
        held_.clear();
    }

    std::optional<OwnerRecord> record() const
    {
        const std::lock_guard lock(mutex_);
        return record_;
    }

    std::vector<Swap> swaps() const
    {
        const std::lock_guard lock(mutex_);
        return swaps_;
    }

private:
    static OwnerRecord decode(std::string_view text)
    {
        return boost::leaf::try_handle_all(
            [&]() -> Result<OwnerRecord> { return decodeOwnerRecord(text); },
            [] { return OwnerRecord{}; });
    }

    bool apply(const Swap &swap)
    {
        if (swap.expectedRevision != revision_)
            return false;
        record_ = swap.record;
        ++revision_;
        return true;
    }

    mutable std::mutex mutex_;
    Mode mode_ = Mode::Answer;
    std::optional<OwnerRecord> record_;
    std::int64_t revision_ = 0;
    std::vector<Swap> swaps_;
    std::vector<Swap> held_;
};

/// Stands in for the store client.
class FakeStore : public caf::event_based_actor
{
public:
    FakeStore(caf::actor_config &config, std::shared_ptr<FakeRecord> record)
        : caf::event_based_actor(config)
        , record_(std::move(record))
    {
    }

    caf::behavior make_behavior() override
    {
        return {
            [this](const StoreRead &call) { return record_->read(call.key); },
            [this](const StoreCompareAndSwap &call) -> caf::result<StoreCompareAndSwapReply> {
                auto promise = make_response_promise<StoreCompareAndSwapReply>();
                if (auto reply = record_->swap(call))
                    promise.deliver(std::move(*reply));
                else
                    unanswered_.push_back(promise);
                return promise;
            },
        };
    }

    void on_exit() override { unanswered_.clear(); }

private:
    std::shared_ptr<FakeRecord> record_;
    std::vector<caf::response_promise> unanswered_;
};

/// Stands in for the manager and the peers: all candidates grant at once, or none answers.
class FakeCandidates : public caf::event_based_actor
{
public:
    FakeCandidates(caf::actor_config &config, std::string self,
                   std::shared_ptr<std::atomic<bool>> granting)
        : caf::event_based_actor(config)
        , self_(std::move(self))
        , granting_(std::move(granting))
    {
    }

    caf::behavior make_behavior() override
    {
        return {
            [this](const PromiseRequest &request) { answer(self_, request); },
            [this](const SendPromiseRequest &message) { answer(message.vm, message.request); },
            [](const RecordRead &) {},
        };
    }

private:
    void answer(const std::string &vm, const PromiseRequest &request)
    {
        if (!*granting_ || request.release)
            return;
        PromiseReply reply;
        reply.database = request.database;
        reply.candidate = vm;
        reply.epoch = request.epoch;
        reply.sequence = request.sequence;
        reply.granted = true;
        reply.highestEpoch = request.epoch;
        send(caf::actor_cast<caf::actor>(current_sender()), reply);
    }

    std::string self_;
    std::shared_ptr<std::atomic<bool>> granting_;
};

} // namespace shallotwalk
