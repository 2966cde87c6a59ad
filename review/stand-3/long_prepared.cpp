/// A client prepares a long statement and runs it. Breaks PINNED if the name isn't known although
/// its preparing was acknowledged.
#include "harness.h"

#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t shapeBytes = 600'000;
constexpr int attempts = 5;

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = argc < 3 || std::string(argv[2]) != "0";
    Record record(argc < 2 ? "record.txt" : argv[1]);
    Store store;
    Service service(store, record, {});
    configure(store, service, 1500, 600, 16);
    Proxy proxy("front-nord-a-1", store);
    if (!proxy.waitUntilReady(10s))
        return NotRun;
    std::this_thread::sleep_for(1s);
    Client client(proxy.port(), record, "client");
    if (!client.start("rounds").complete)
        return NotRun;
    const std::string shape(trouble ? shapeBytes : 1000, 's');
    const auto prepared = client.query("p1", "PREPARE s1 READ " + shape);
    if (!prepared.complete || !prepared.error.empty())
        return Held; // The client was told that the name isn't prepared.
    int ran = 0;
    for (int i = 0; i < attempts; ++i) {
        const auto id = "e" + std::to_string(i);
        const auto answer = client.query(id, "EXEC s1 1a4");
        ran += answer.signature == "r." + id ? 1 : 0;
    }
    if (ran == 0)
        record.write("PINNED: s1 was acknowledged and is unknown at all databases; none of "
                     + std::to_string(attempts) + " statements ran");
    std::quick_exit(ran == 0 ? Broken : Held);
}
