#pragma once

#include <boost/json/value.hpp>

#include <caf/actor.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <string>

namespace shallotwalk {

/// Asks an actor for its state. Each actor answers with a StateDump.
struct StateDumpRequest
{
};

/// State of one actor and, for supervisors, of its children, as JSON. Secrets are left out.
struct StateDump
{
    boost::json::value state;
};

/// Tells an actor to end its open work, refuse new work and then quit with a normal exit.
struct DrainRequest
{
};

/// Asks the lifecycle actor whether callers should be sent here. The answer is a Readiness.
struct ReadinessRequest
{
};

/// Whether the balancer should send callers to this proxy.
struct Readiness
{
    bool ready = false;
    std::string reason; ///< Why it isn't ready.
};

/// Asks the lifecycle actor to drain and end this process.
struct ShutdownRequest
{
};

/// Sent by a supervisor to its listener whenever it has started or restarted a child.
struct ChildStarted
{
    std::string name;
    caf::actor child;
};

/// Asks for the metrics of an actor as text. The answer is a MetricsText.
struct MetricsRequest
{
};

/// Metrics in the text format of scrapers.
struct MetricsText
{
    std::string text;
};

} // namespace shallotwalk

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StateDumpRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::StateDump)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::DrainRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ReadinessRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::Readiness)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ShutdownRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::ChildStarted)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::MetricsRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(shallotwalk::MetricsText)
