#pragma once

#include <string>

namespace shallotwalk {

/// Who this proxy is towards its peers.
struct PeerIdentity
{
    std::string vm;
    std::string dataCentre;
    std::string key; ///< Secret that all proxies of the fleet share.
};

} // namespace shallotwalk
