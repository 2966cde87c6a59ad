#pragma once

#include "core/core.h"
#include "wire/wire.h"

#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace shallotwalk {

/// An answer of the administration API.
struct ControlAnswer
{
    unsigned status = 0;
    boost::json::value body;
};

/// Calls the administration API of one proxy. Not thread-safe.
class ControlClient
{
public:
    ControlClient(HttpEndpoint address, std::string key);

    /// Sends a request. Fails if the proxy can't be reached or its answer isn't JSON; the verdict
    /// says whether the request may have had an effect.
    Result<ControlAnswer> call(std::string_view method, std::string_view target,
                               std::string_view body = {}, std::string_view ifMatch = {});

private:
    HttpClient client_;
    std::string key_;
    BootClock clock_;
};

} // namespace shallotwalk
