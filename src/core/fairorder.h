#pragma once

#include <boost/intrusive/set.hpp>

#include <cstddef>
#include <cstdint>

namespace shallotwalk {

/// Order of service by start-time fair queueing: the flow that has consumed the least goes first,
/// and a flow that was idle gains nothing by it. O(log n) for each operation. Not thread-safe.
class FairOrder
{
public:
    /// A party that shares the service. Must outlive its membership in an order.
    struct Flow
    {
        double tag = 0; ///< Consumption divided by weight, in microseconds of virtual time.
        std::uint64_t serial = 0;
        boost::intrusive::set_member_hook<> hook;

        bool active() const { return hook.is_linked(); }
        bool operator<(const Flow &other) const
        {
            return tag != other.tag ? tag < other.tag : serial < other.serial;
        }
    };

    /// Adds a flow that has work waiting. \pre The flow is not active.
    void activate(Flow &flow);

    /// Removes a flow without waiting work. \pre The flow is active in this order.
    void deactivate(Flow &flow);

    /// The flow to serve next. \pre The order is not empty.
    Flow &first() { return *flows_.begin(); }

    /// Notes that \a flow is served. \pre The flow is active in this order.
    void serve(Flow &flow);

    /// Adds \a cost to what a flow has consumed; negative to correct an estimate. The flow may be
    /// active in this order or in none.
    void charge(Flow &flow, double cost);

    /// Whether an idle \a flow has no more consumption than a new one would start with.
    bool isSettled(const Flow &flow) const { return flow.tag <= virtualTime_; }

    bool empty() const { return flows_.empty(); }
    std::size_t size() const { return flows_.size(); }

private:
    using Hook =
        boost::intrusive::member_hook<Flow, boost::intrusive::set_member_hook<>, &Flow::hook>;

    boost::intrusive::set<Flow, Hook> flows_;
    double virtualTime_ = 0;
    std::uint64_t lastSerial_ = 0;
};

} // namespace shallotwalk
