/// One client sets large session values and then sends many small ones ahead. Breaks "hands back
/// the processor" if the process serves nobody any more.
#include "harness.h"

#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr int largeValues = 100;
constexpr std::size_t valueBytes = 1'000'000;
/// 17 bytes each, sent ahead on one connection.
constexpr int smallStatements = 10'000;
/// Many times the deadline of an ordinary request, which is 6 s at most.
constexpr auto hangLimit = 40s;

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
    Client ordinary(proxy.port(), record, "ordinary");
    if (!ordinary.start("rounds").complete || !ordinary.query("q1", "READ 1a4").complete)
        return NotRun;

    Client sender(proxy.port(), record, "sender");
    sender.start("rounds");
    const std::string value(trouble ? valueBytes : 100, 'v');
    for (int i = 0; i < largeValues; ++i) {
        const auto number = std::to_string(i);
        if (!sender.query("s" + number, "SET v" + number + ' ' + value).complete)
            return NotRun;
    }
    record.write("the proxy holds " + std::to_string(proxy.residentBytes() / 1024 / 1024) + " MiB");
    std::string ahead;
    for (int i = 0; i < smallStatements; ++i)
        ahead += "QUERY t SET s 1\r\n";
    record.write("sender sends " + std::to_string(smallStatements) + " statements SET s 1, "
                 + std::to_string(ahead.size()) + " bytes");
    std::thread reading([&] {
        int answers = 0;
        while (sender.receive("t", 1s).complete && answers < smallStatements)
            ++answers;
    });
    sendAll(sender.descriptor(), ahead);
    std::this_thread::sleep_for(500ms);

    const auto begin = Clock::now();
    ordinary.send("q2", "READ 1a4");
    bool answered = false;
    int missed = 0;
    while (!answered && Clock::now() - begin < hangLimit) {
        answered = ordinary.receive("q2", 1000ms).complete;
        if (!answered && !proxy.ready())
            ++missed;
    }
    record.write("the proxy holds " + std::to_string(proxy.residentBytes() / 1024 / 1024)
                 + " MiB; q2 was " + (answered ? "answered" : "not answered in 40 s") + ", "
                 + std::to_string(missed) + " questions for readiness had no 200");
    if (!answered)
        record.write("HANG: the process doesn't hand back the processor");
    const bool lives = !proxy.ended(0ms);
    std::quick_exit(!lives ? NotRun : answered ? Held : Broken);
}
