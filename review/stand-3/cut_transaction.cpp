/// A proxy gets SIGTERM while a transaction of long statements is open. Breaks LOST if a statement
/// that was passed on to a database is cut.
#include "harness.h"

#include <csignal>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr auto work = 2500ms;
/// Pause of the client between two statements.
constexpr auto clientPause = 50ms;
/// From the answer of the first statement to the SIGTERM.
constexpr auto signalAfter = 100ms;
/// From the SIGTERM to the second statement; the third one is sent 2.55 s later.
constexpr auto secondAfterSignal = 600ms;

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = argc < 3 || std::string(argv[2]) != "0";
    Record record(argc < 2 ? "record.txt" : argv[1]);
    Store store;
    Service::Options options;
    options.work = work;
    Service service(store, record, options);
    configure(store, service, 4000, 4000, 16);
    Proxy proxy("front-nord-a-1", store);
    if (!proxy.waitUntilReady(10s))
        return NotRun;
    std::this_thread::sleep_for(1s);

    Client client(proxy.port(), record, "client");
    if (!client.start("rounds").complete)
        return NotRun;
    client.query("q0", "BEGIN");
    if (!client.query("q1", "READ 1a4").complete)
        return NotRun;
    std::this_thread::sleep_for(signalAfter);
    const auto signalAt = Clock::now();
    if (trouble) {
        record.write("SIGTERM");
        proxy.signal(SIGTERM);
    }
    std::this_thread::sleep_for(secondAfterSignal);
    bool cut = false;
    for (const std::string id : {"q2", "q3"}) {
        const auto sentAfter =
            std::chrono::duration_cast<Milliseconds>(Clock::now() - signalAt).count();
        const auto answer = client.query(id, "READ 1a4");
        const auto endedAfter =
            std::chrono::duration_cast<Milliseconds>(Clock::now() - signalAt).count();
        if (!answer.complete && service.wasStarted(id)) {
            cut = true;
            record.write("LOST: " + id + ", sent " + std::to_string(sentAfter)
                         + " ms after the SIGTERM and run by a database, was cut after "
                         + std::to_string(endedAfter) + " ms");
        }
        if (!answer.complete)
            break;
        std::this_thread::sleep_for(clientPause);
    }
    std::quick_exit(cut ? Broken : Held);
}
