#pragma once

#include "wire/wire.h"

#include <boost/json/value.hpp>

#include <map>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// What one proxy reported about itself.
struct ProxyReport
{
    std::string address;
    std::string error; ///< Why its state could not be read; the rest is unset then.
    bool ready = false;
    std::string reason; ///< Why it is not ready.
    ConfigurationVersion tablesVersion = 0;
    std::map<std::string, Epoch> serving;      ///< Databases that it serves.
    std::map<std::string, std::string> owners; ///< Owner of each database as it knows it.
};

/// Reads the report of the proxy at \a address. Blocks for at most some 20 s. Thread-safe.
ProxyReport readProxy(const HttpEndpoint &address, std::string_view key);

/// Compares the reports of a fleet's proxies. They were read one after the other, so a change in
/// between may look like a problem; a second report tells. Immutable, thus thread-safe.
class FleetReport
{
public:
    explicit FleetReport(std::vector<ProxyReport> proxies);

    /// One line for each finding; empty for a healthy fleet.
    std::span<const std::string> problems() const { return problems_; }

    /// Writes a table of the proxies and the problems.
    void print(std::ostream &out) const;

    boost::json::value toJson() const;

private:
    void findProxyProblems();
    void findDatabaseProblems();

    std::vector<ProxyReport> proxies_;
    std::vector<std::string> problems_;
};

} // namespace shallotwalk
