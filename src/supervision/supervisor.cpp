#include "supervision/supervisor.h"

#include "supervision/logvalue.h"

#include <caf/actor_system.hpp>
#include <caf/exit_reason.hpp>
#include <caf/send.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

constexpr auto dumpTimeout = std::chrono::seconds(1);

/// Restarts the child named by a delayed message of the supervisor to itself.
struct RestartChild
{
    std::string name;
};

/// Collects the children's answers to one state dump request.
struct DumpCollector
{
    boost::json::object children;
    std::size_t pending = 0;
    boost::json::object own;
};

void finishDump(DumpCollector &collector, caf::response_promise &promise)
{
    collector.own["children"] = std::move(collector.children);
    promise.deliver(StateDump{std::move(collector.own)});
}

} // namespace

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RestartChild)

namespace shallotwalk {

Supervisor::Supervisor(caf::actor_config &config, std::string name,
                       std::vector<ChildSpecification> children, std::shared_ptr<const Clock> clock,
                       RestartRule rule, caf::actor listener)
    : caf::event_based_actor(config)
    , name_(std::move(name))
    , initialChildren_(std::move(children))
    , clock_(std::move(clock))
    , limiter_(rule)
    , listener_(std::move(listener))
{
    set_down_handler([this](caf::down_msg &message) { handleDown(message); });
    set_exit_handler([this](caf::exit_msg &message) { quit(message.reason); });
}

void Supervisor::on_exit()
{
    for (auto &[name, child] : children_)
        send_exit(child.actor, caf::exit_reason::user_shutdown);
    children_.clear();
    listener_ = nullptr;
}

caf::behavior Supervisor::make_behavior()
{
    for (auto &specification : initialChildren_)
        addChild(std::move(specification));
    initialChildren_.clear();
    return {
        [this](AddChild &message) { addChild(std::move(message.child)); },
        [this](const RemoveChild &message) { removeChild(message.name); },
        [this](const RestartChild &message) {
            const auto found = children_.find(message.name);
            if (found != children_.end() && !draining_)
                startChild(found->second);
        },
        [this](DrainRequest) { drainChildren(); },
        [this](StateDumpRequest) { return dumpState(); },
    };
}

void Supervisor::startChild(Child &child)
{
    child.actor = child.specification.start(this);
    monitor(child.actor);
    if (child.specification.relay)
        send(child.specification.relay, ChildStarted{child.specification.name, child.actor});
    if (listener_)
        send(listener_, ChildStarted{child.specification.name, child.actor});
}

void Supervisor::addChild(ChildSpecification specification)
{
    auto name = specification.name;
    const auto [place, added] =
        children_.try_emplace(name, Child{std::move(specification), {}, 0, {}});
    if (added)
        startChild(place->second);
}

void Supervisor::removeChild(const std::string &name)
{
    const auto found = children_.find(name);
    if (found == children_.end())
        return;
    demonitor(found->second.actor);
    send(found->second.actor, DrainRequest{});
    children_.erase(found);
}

void Supervisor::handleDown(const caf::down_msg &message)
{
    const auto found = std::find_if(children_.begin(), children_.end(), [&](const auto &entry) {
        return entry.second.actor.address() == message.source;
    });
    if (found == children_.end())
        return;
    auto &child = found->second;
    if (!message.reason || message.reason == caf::exit_reason::normal || draining_) {
        children_.erase(found);
        quitIfDrained();
        return;
    }
    child.lastFailure = system().render(message.reason);
    const auto delay = limiter_.recordFailure(clock_->now());
    if (!delay) {
        spdlog::error("event=restart_limit_reached supervisor={} child={} reason={}", name_,
                      found->first, logValue(child.lastFailure));
        quit(caf::exit_reason::unhandled_exception);
        return;
    }
    ++child.restarts;
    spdlog::warn("event=child_failed supervisor={} child={} reason={} restart_in_ms={}", name_,
                 found->first, logValue(child.lastFailure),
                 std::chrono::duration_cast<std::chrono::milliseconds>(*delay).count());
    delayed_send(this, *delay, RestartChild{found->first});
}

void Supervisor::drainChildren()
{
    draining_ = true;
    for (auto &[name, child] : children_)
        send(child.actor, DrainRequest{});
    quitIfDrained();
}

void Supervisor::quitIfDrained()
{
    if (draining_ && children_.empty())
        quit();
}

caf::result<StateDump> Supervisor::dumpState()
{
    auto promise = make_response_promise<StateDump>();
    auto collector = std::make_shared<DumpCollector>();
    collector->own["supervisor"] = name_;
    collector->pending = children_.size();
    if (children_.empty()) {
        finishDump(*collector, promise);
        return promise;
    }
    for (auto &[name, child] : children_) {
        auto store = [collector, promise, name = name,
                      restarts = child.restarts](boost::json::value state) mutable {
            boost::json::object entry;
            entry["restarts"] = restarts;
            entry["state"] = std::move(state);
            collector->children[name] = std::move(entry);
            if (--collector->pending == 0)
                finishDump(*collector, promise);
        };
        request(child.actor, dumpTimeout, StateDumpRequest{})
            .then([store](StateDump &dump) mutable { store(std::move(dump.state)); },
                  [store](caf::error &) mutable {
                      store(boost::json::value("no answer within 1 s"));
                  });
    }
    return promise;
}

} // namespace shallotwalk
