#pragma once

#include "supervision/clock.h"
#include "supervision/messages.h"
#include "supervision/restartlimiter.h"

#include <caf/event_based_actor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// Describes a child of a supervisor. \c start is called for the first start and each restart, on
/// the supervisor's thread; it must spawn without linking or monitoring.
struct ChildSpecification
{
    std::string name;
    std::function<caf::actor(caf::event_based_actor *supervisor)> start;
    caf::actor relay = {}; ///< If valid, learns of each start; see Relay.
};

/// Adds a child to a running supervisor, or does nothing if the name is taken.
struct AddChild
{
    ChildSpecification child;
};

/// Ends a child of a running supervisor for good; the child gets a DrainRequest.
struct RemoveChild
{
    std::string name;
};

/// Starts children, restarts those that fail (one for one) and fails itself with
/// caf::exit_reason::unhandled_exception when they fail more often than the rule allows. A child
/// that exits normally isn't restarted. All methods run on the actor's own thread.
class Supervisor : public caf::event_based_actor
{
public:
    /// \a listener, if valid, gets a ChildStarted message for each start and restart.
    Supervisor(caf::actor_config &config, std::string name,
               std::vector<ChildSpecification> children, std::shared_ptr<const Clock> clock,
               RestartRule rule = {}, caf::actor listener = {});

    caf::behavior make_behavior() override;
    void on_exit() override;

private:
    struct Child
    {
        ChildSpecification specification;
        caf::actor actor;
        std::size_t restarts = 0;
        std::string lastFailure;
    };

    void startChild(Child &child);
    void addChild(ChildSpecification specification);
    void removeChild(const std::string &name);
    void handleDown(const caf::down_msg &message);
    void drainChildren();
    void quitIfDrained();
    caf::result<StateDump> dumpState();

    std::string name_;
    std::vector<ChildSpecification> initialChildren_;
    std::shared_ptr<const Clock> clock_;
    RestartLimiter limiter_;
    caf::actor listener_;
    std::map<std::string, Child, std::less<>> children_;
    bool draining_ = false;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::AddChild)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::RemoveChild)
