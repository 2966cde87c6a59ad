/// A primary whose slots are taken loses the answer of a write. Breaks TWICE if the write takes
/// effect again.
#include "harness.h"

#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int writes = 40;
/// The only one whose answer is lost: 2.5% of the writes.
constexpr const char *lostWrite = "w20";
constexpr std::size_t readers = 6;

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = argc < 3 || std::string(argv[2]) != "0";
    Record record(argc < 2 ? "record.txt" : argv[1]);
    Store store;
    Service::Options options;
    options.work = 20ms;
    Service service(store, record, options);
    std::atomic<bool> lost = false;
    service.losesAnswer = [&](const std::string &id) {
        return trouble && id == lostWrite && !lost.exchange(true);
    };
    configure(store, service, 1500, 600, 16);
    Proxy writer("front-nord-a-1", store);
    Proxy reader("front-nord-a-2", store);
    if (!writer.waitUntilReady(10s) || !reader.waitUntilReady(10s))
        return NotRun;
    std::this_thread::sleep_for(2s);

    // Clients of the other proxy keep the slots of the primary taken.
    std::atomic<bool> done = false;
    std::vector<std::thread> load;
    for (std::size_t i = 0; i < readers; ++i) {
        load.emplace_back([&, i] {
            const auto name = "reader-" + std::to_string(i);
            Client client(reader.port(), record, name);
            client.start("rounds");
            for (int n = 0; !done; ++n)
                client.query("r" + std::to_string(i) + '-' + std::to_string(n), "READ 1a4");
        });
    }
    std::this_thread::sleep_for(500ms);

    bool ran = false;
    bool twice = false;
    bool refused = false;
    {
        Client client(writer.port(), record, "writer");
        client.start("rounds");
        for (int n = 0; n < writes; ++n) {
            const auto id = "w" + std::to_string(n);
            const auto answer = client.query(id, "WRITE 1a4 data" + std::to_string(n));
            const auto effects = service.effects(id);
            ran = ran || effects > 0;
            if (effects > 1) {
                twice = true;
                record.write("TWICE: " + id + " took effect " + std::to_string(effects)
                             + " times for one attempt");
            }
            if (effects > 0
                && (answer.error.starts_with("BUSY") || answer.error.starts_with("ABORTED"))) {
                refused = true;
                record.write("REFUSED: " + id + " is committed, but the client was told "
                             + answer.error);
            }
        }
    }
    done = true;
    for (auto &thread : load)
        thread.join();
    record.write(twice || refused ? "broken" : "held");
    std::quick_exit(!ran ? NotRun : twice || refused ? Broken : Held);
}
