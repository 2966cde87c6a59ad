#pragma once

#include "gateway/lineclient.h"
#include "support/faultlink.h"
#include "support/standinprocess.h"
#include "support/temporaryfile.h"

#include <memory>
#include <string>
#include <vector>

namespace shallotwalk::test {

/// Proxies as processes before the stand-in of the platform, with the databases "slots" (bounded
/// staleness of 1 s), "rounds" (primary) and "confirmations" (own writes).
class PlatformFleet
{
public:
    /// Waits until all proxies are ready. Throws std::runtime_error if they aren't in time.
    explicit PlatformFleet(std::size_t proxies);

    /// Writes a configuration. \a extraDatabase, if not empty, gets a route too.
    void configure(int version, const std::string &extraDatabase = {});

    std::unique_ptr<LineClient> client(std::size_t proxy, std::string_view database);

    std::uint16_t frontPort(std::size_t proxy) const { return proxies_.at(proxy).front; }

    /// The link between a proxy and the platform's store.
    FaultLink &storeLink(std::size_t proxy) { return *proxies_.at(proxy).storeLink; }

    bool ready(std::size_t proxy);
    bool waitUntilReady(std::size_t proxy, std::chrono::milliseconds wait);

    /// Body that the proxy's administration address gives for \a path.
    std::string administration(std::size_t proxy, const std::string &path);

    /// The leader's log, one entry a line: "<statement> <item> <data>".
    std::string log() { return platform_.request("POST", "/fault/log", "{}"); }

    /// How often the database's log holds the statement \a id.
    std::size_t runs(const std::string &id);

    void fault(const std::string &name, const std::string &body) { platform_.fault(name, body); }
    std::string leader() { return platform_.request("POST", "/fault/leader", "{}"); }
    ChildProcess &process(std::size_t proxy) { return *proxies_.at(proxy).process; }

    /// Starts a proxy that has ended once more.
    void restart(std::size_t proxy);

    /// The same, with every statement logged to \a standardOutput.
    void restartWithOutput(std::size_t proxy, int standardOutput);

private:
    struct Proxy
    {
        std::uint16_t front = 0;
        std::uint16_t readiness = 0;
        std::uint16_t administration = 0;
        std::unique_ptr<FaultLink> storeLink;
        std::unique_ptr<TemporaryFile> settings;
        std::unique_ptr<ChildProcess> process;
    };

    HttpResponse get(std::uint16_t port, const std::string &path);

    StandinProcess platform_;
    std::vector<Proxy> proxies_;
};

} // namespace shallotwalk::test
