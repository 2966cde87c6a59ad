#include "core/fairorder.h"

#include <algorithm>

namespace shallotwalk {

void FairOrder::activate(Flow &flow)
{
    flow.tag = std::max(flow.tag, virtualTime_);
    flow.serial = ++lastSerial_;
    flows_.insert(flow);
}

void FairOrder::deactivate(Flow &flow)
{
    flows_.erase(flows_.iterator_to(flow));
}

void FairOrder::serve(Flow &flow)
{
    virtualTime_ = std::max(virtualTime_, flow.tag);
}

void FairOrder::charge(Flow &flow, double cost)
{
    const bool active = flow.active();
    if (active)
        flows_.erase(flows_.iterator_to(flow));
    flow.tag += cost;
    if (active) {
        flow.serial = ++lastSerial_;
        flows_.insert(flow);
    }
}

} // namespace shallotwalk
