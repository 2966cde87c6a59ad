#include "soak/client.h"
#include "soak/faultdriver.h"

#include <boost/program_options.hpp>

#include <iostream>
#include <thread>

namespace {

using namespace shallotwalk;
using namespace std::chrono_literals;
namespace po = boost::program_options;

/// The routes of a PlatformFleet whose reads are checked against commits.
struct CheckedRoute
{
    const char *database;
    bool seesAll;
};
constexpr CheckedRoute routes[] = {{"rounds", true}, {"confirmations", false}};

/// After the last fault, until a write through each proxy must succeed. The platform's days give 12
/// s and more.
constexpr auto recoveryLimit = 12s;

bool recovers(std::uint16_t port)
{
    const auto end = std::chrono::steady_clock::now() + recoveryLimit;
    while (std::chrono::steady_clock::now() < end) {
        try {
            test::LineClient client(port);
            if (client.start("slots").ok() && client.query("READ item0").ok())
                return true;
        } catch (const std::runtime_error &) {
            // The proxy doesn't listen yet.
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

/// One run; the number of violations, which it prints.
std::size_t run(unsigned seed, std::size_t proxies, std::chrono::seconds duration)
{
    const auto clientsPerRoute = proxies * 2;
    const auto clientCount = clientsPerRoute * std::size(routes);
    soak::History history(clientCount);
    test::PlatformFleet fleet(proxies);
    std::vector<std::unique_ptr<FaultLink>> links;
    for (std::size_t i = 0; i < proxies; ++i)
        links.push_back(std::make_unique<FaultLink>(fleet.frontPort(i)));
    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < clientCount; ++number) {
        const auto &route = routes[number % std::size(routes)];
        threads.emplace_back([&, number, port = links[number % proxies]->port()] {
            soak::Client(number, port, route.database, route.seesAll, clientCount, history)
                .run(stop);
        });
    }
    soak::FaultDriver driver(seed, fleet, links, history);
    driver.run(duration);
    for (std::size_t i = 0; i < proxies; ++i) {
        if (!recovers(fleet.frontPort(i)))
            history.recordViolation("a proxy doesn't serve after the faults");
    }
    stop = true;
    for (auto &thread : threads)
        thread.join();
    history.checkLog(fleet.log());
    std::cout << "seed " << seed << ": " << history.count(soak::WriteOutcome::Acknowledged)
              << " writes acknowledged, " << history.count(soak::WriteOutcome::Refused)
              << " refused or rolled back, " << history.count(soak::WriteOutcome::InDoubt)
              << " in doubt;";
    for (const auto &[name, count] : driver.counts())
        std::cout << ' ' << name << ' ' << count << ',';
    const auto violations = history.violations();
    std::cout << ' ' << violations.size() << " violations\n";
    for (const auto &violation : violations)
        std::cout << "  " << violation << '\n';
    std::cout.flush();
    return violations.size();
}

} // namespace

/// Runs the real program as several processes under faults and checks the promises from what
/// clients and databases see. Ends only processes that it started.
int main(int argc, char **argv)
{
    unsigned seed = 1;
    unsigned count = 1;
    unsigned seconds = 10;
    std::size_t proxies = 3;
    po::options_description options("Options");
    options.add_options()("help", "print this text")("seed", po::value(&seed), "first seed")(
        "count", po::value(&count), "number of seeds")("seconds", po::value(&seconds),
                                                       "duration of the faults of each seed")(
        "proxies", po::value(&proxies), "processes of the program");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help") != 0) {
            std::cout << options;
            return 0;
        }
        std::size_t violations = 0;
        for (unsigned i = 0; i < count; ++i)
            violations += run(seed + i, proxies, std::chrono::seconds(seconds));
        return violations == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "test_soak: " << error.what() << '\n';
        return 2;
    }
}
