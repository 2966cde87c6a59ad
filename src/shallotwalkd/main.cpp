#include "node/node.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <spdlog/spdlog.h>

#include <iostream>

namespace {

using namespace shallotwalk;
namespace po = boost::program_options;

constexpr int exitUsage = 2;
constexpr int exitCutShort = 3;
constexpr int exitAddress = 4;
constexpr int exitFailed = 70;

po::options_description visibleOptions()
{
    po::options_description options("Options");
    options.add_options()("help,h", "print this text")("version", "print the version")(
        "settings,s", po::value<std::string>(),
        "settings file, JSON with comments")("check-settings", "check the settings file and end");
    return options;
}

void printHelp()
{
    std::cout << "Usage: shallotwalkd --settings FILE\n\n"
              << visibleOptions()
              << "\nSIGTERM and SIGINT drain the proxy and end it. Exit codes: 0 success, 2 wrong\n"
                 "usage or settings, 3 the drain limit cut open work, 4 an address can't be\n"
                 "listened on, 70 internal failure.\n";
}

int runNode(const Settings &settings)
{
    ProcessSignals signals;
    configureLogging(settings);
    caf::actor_system_config config;
    configureActorSystem(config);
    caf::actor_system system(config);
    caf::scoped_actor self(system);
    const auto node = startNode(system, settings, std::make_shared<BootClock>());
    self->monitor(node);
    signals.forwardTo([node](int signal) {
        if (signal == SIGHUP)
            spdlog::info("event=reload_ignored reason=\"settings are read at the start only\"");
        else
            caf::anon_send(node, ShutdownRequest{});
    });
    int code = exitFailed;
    self->receive([&](const caf::down_msg &message) {
        if (!message.reason)
            code = 0;
        else if (message.reason == caf::exit_reason::user_shutdown)
            code = exitCutShort;
    });
    return code;
}

int listenFailed(const Failure &failure)
{
    std::cerr << "shallotwalkd: " << failure.message << '\n';
    return exitAddress;
}

int checkAndRun(const Settings &settings)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(checkListenAddresses(settings));
            return runNode(settings);
        },
        listenFailed, [] { return exitFailed; });
}

int runProgram(const po::variables_map &values)
{
    if (values.count("help") != 0) {
        printHelp();
        return 0;
    }
    if (values.count("version") != 0) {
        std::cout << "shallotwalkd " SHALLOTWALK_VERSION "\n";
        return 0;
    }
    if (values.count("settings") == 0) {
        std::cerr << "shallotwalkd: --settings is missing; see --help\n";
        return exitUsage;
    }
    const auto path = values["settings"].as<std::string>();
    return boost::leaf::try_handle_all(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, loadSettings(path));
            if (values.count("check-settings") != 0) {
                std::cout << path << ": valid\n";
                return 0;
            }
            return checkAndRun(settings);
        },
        [](const Failure &failure) {
            std::cerr << "shallotwalkd: " << failure.message << '\n';
            return exitUsage;
        },
        [] { return exitFailed; });
}

} // namespace

int main(int argc, char **argv)
{
    // Boost.Program_options reports errors by exceptions.
    try {
        po::variables_map values;
        const auto options = visibleOptions();
        // Without positional options, further arguments are errors instead of being ignored.
        po::store(po::command_line_parser(argc, argv)
                      .options(options)
                      .positional(po::positional_options_description())
                      .run(),
                  values);
        return runProgram(values);
    } catch (const po::error &error) {
        std::cerr << "shallotwalkd: " << error.what() << "; see --help\n";
        return exitUsage;
    }
}
