/// Sessions of ordinary clients send one large message each, one after the other, and stay open.
/// Breaks Fault if processes of two machines need more than memory_mb three times each.
#include "harness.h"

#include <csignal>
#include <thread>

using namespace review;
using namespace std::chrono_literals;

namespace {

/// The sessions that stand open at the deployment, shared by the two machines that are left.
constexpr std::size_t sessionsPerMachine = 296 / 2;
constexpr std::size_t dataBytes = 1'000'000;
constexpr std::size_t answerRows = 2;
constexpr int memoryMb = 390;
constexpr int machines = 2;
constexpr int ends = 3;

struct Outcome
{
    std::size_t served = 0;
    std::size_t opened = 0;
    bool killed = false;
};

/// Opens the sessions of one machine, each with a write and a read.
Outcome openSessions(Proxy &proxy, Record &record, const std::string &name, bool large)
{
    const std::string data(large ? dataBytes : 100, 'd');
    std::vector<std::unique_ptr<Client>> clients;
    Outcome outcome;
    std::size_t resident = 0;
    while (clients.size() < sessionsPerMachine && !outcome.killed) {
        const auto number = name + '-' + std::to_string(clients.size());
        clients.push_back(std::make_unique<Client>(proxy.port(), record, "client-" + number));
        auto &client = *clients.back();
        client.start("rounds");
        outcome.served += client.query("w" + number, "WRITE 1a4 " + data).signature.empty() ? 0 : 1;
        outcome.served += client.query("r" + number, "READ 1a4").signature.empty() ? 0 : 1;
        resident = proxy.residentBytes();
        if (resident > std::size_t{memoryMb} * 1'000'000) {
            // The platform kills a process that exceeds memory_mb.
            proxy.signal(SIGKILL);
            outcome.killed = proxy.ended(5s);
        }
    }
    outcome.opened = clients.size();
    record.write(name + " held " + std::to_string(resident / 1'000'000) + " MB with "
                 + std::to_string(outcome.opened) + " sessions, "
                 + (outcome.killed
                        ? "over memory_mb: the platform kills it and all its sessions end"
                        : "within memory_mb"));
    return outcome;
}

} // namespace

int main(int argc, char **argv)
{
    const bool trouble = argc < 3 || std::string(argv[2]) != "0";
    Record record(argc < 2 ? "record.txt" : argv[1]);
    Store store;
    Service::Options options;
    options.work = 1ms;
    options.rowBytes = trouble ? dataBytes : 100;
    options.readRows = answerRows;
    Service service(store, record, options);
    configure(store, service, 1500, 600, 16);
    int machinesWithFault = 0;
    for (int machine = 0; machine < machines; ++machine) {
        const auto name = "front-nord-a-" + std::to_string(machine + 1);
        int killed = 0;
        for (int start = 0; start < ends; ++start) {
            Proxy proxy(name, store, memoryMb);
            if (!proxy.waitUntilReady(10s))
                return NotRun;
            std::this_thread::sleep_for(1s);
            const auto outcome =
                openSessions(proxy, record, name + '.' + std::to_string(start), trouble);
            if (outcome.served == 0)
                return NotRun;
            killed += outcome.killed ? 1 : 0;
        }
        machinesWithFault += killed >= ends ? 1 : 0;
    }
    record.write(std::to_string(machinesWithFault) + " of " + std::to_string(machines)
                 + " machines had processes that ended three times");
    std::quick_exit(machinesWithFault == machines ? Broken : Held);
}
