#include "registry/vmlistpoller.h"

#include "supervision/logvalue.h"
#include "supervision/messages.h"
#include "wire/vmlistcodec.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

/// Sent by the poller to itself for each read.
struct PollVmList
{
};

constexpr unsigned statusOk = 200;

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::PollVmList)

namespace shallotwalk {

VmListPoller::VmListPoller(caf::actor_config &config, VmListPollerSettings settings,
                           std::shared_ptr<const Clock> clock,
                           std::shared_ptr<Subscribers> subscribers)
    : caf::event_based_actor(config)
    , settings_(std::move(settings))
    , clock_(std::move(clock))
    , subscribers_(std::move(subscribers))
    , client_(settings_.endpoint, settings_.bodyLimit)
{
    set_down_handler([this](const caf::down_msg &message) { unsubscribe(message.source); });
}

caf::behavior VmListPoller::make_behavior()
{
    for (const auto &subscriber : *subscribers_)
        monitor(subscriber);
    schedule();
    return {
        [this](const SubscribeVmList &message) { subscribe(message.subscriber); },
        [this](const UnsubscribeVmList &message) { unsubscribe(message.subscriber.address()); },
        [this](PollVmList) { poll(); },
        [this](StateDumpRequest) { return StateDump{state()}; },
        [this](DrainRequest) { quit(); },
    };
}

void VmListPoller::subscribe(const caf::actor &subscriber)
{
    if (subscribers_->add(subscriber))
        monitor(subscriber);
    if (entries_)
        send(subscriber, VmListChanged{*entries_});
    schedule();
}

void VmListPoller::schedule()
{
    if (scheduled_ || subscribers_->empty())
        return;
    scheduled_ = true;
    send(this, PollVmList{});
}

void VmListPoller::unsubscribe(const caf::actor_addr &subscriber)
{
    subscribers_->remove(subscriber);
    // The list is old by the time of the next subscription.
    if (subscribers_->empty())
        entries_.reset();
}

void VmListPoller::poll()
{
    scheduled_ = !subscribers_->empty();
    if (!scheduled_)
        return;
    const auto fail = [this](const std::string &error) {
        ++failures_;
        if (lastError_.empty())
            spdlog::warn("event=vm_list_failed error={}", logValue(error));
        lastError_ = error;
    };
    leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(entries, readList());
            accept(std::move(entries));
            return {};
        },
        [&](const Failure &failure) { fail(failure.message); }, [&] { fail("unknown error"); });
    delayed_send(this, settings_.interval, PollVmList{});
}

Result<std::vector<VmEntry>> VmListPoller::readList()
{
    const auto deadline = clock_->now() + settings_.timeout;
    BOOST_LEAF_AUTO(response, client_.request("GET", vmListPath, {}, deadline, deadline));
    if (response.status != statusOk) {
        return leaf::new_error(Failure{ErrorCode::ConnectionLost, Verdict::DidNotRun,
                                       "HTTP status " + std::to_string(response.status)});
    }
    return decodeVmList(response.body);
}

void VmListPoller::accept(std::vector<VmEntry> entries)
{
    lastError_.clear();
    if (entries_ == entries)
        return;
    entries_ = std::move(entries);
    for (const auto &subscriber : *subscribers_)
        send(subscriber, VmListChanged{*entries_});
}

void VmListPoller::on_exit()
{
    subscribers_.reset();
}

boost::json::value VmListPoller::state() const
{
    return boost::json::object{{"vms", entries_ ? entries_->size() : 0},
                               {"loaded", entries_.has_value()},
                               {"failures", failures_},
                               {"lastError", lastError_}};
}

} // namespace shallotwalk
