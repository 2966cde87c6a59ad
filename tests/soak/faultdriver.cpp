#include "soak/faultdriver.h"

#include <array>
#include <csignal>
#include <thread>

namespace shallotwalk::soak {

using namespace std::chrono_literals;

namespace {

constexpr auto pace = 20ms;
/// The fleet's settings give 6 s from SIGTERM to SIGKILL.
constexpr auto grace = 6s;

std::string idBody(const std::string &id)
{
    return R"({"id": ")" + id + "\"}";
}

} // namespace

FaultDriver::FaultDriver(unsigned seed, test::PlatformFleet &fleet,
                         std::vector<std::unique_ptr<FaultLink>> &clientLinks, History &history)
    : random_(seed)
    , lossRandom_(seed)
    , fleet_(fleet)
    , clientLinks_(clientLinks)
    , history_(history)
    , disturbed_(clientLinks.size())
{
}

void FaultDriver::run(std::chrono::milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    auto next = std::chrono::steady_clock::now() + 500ms;
    while (std::chrono::steady_clock::now() < end) {
        endDue(false);
        checkProcesses();
        if (std::chrono::steady_clock::now() >= next) {
            inject();
            next += std::chrono::milliseconds(200 + random_() % 1000);
        }
        std::this_thread::sleep_for(pace);
    }
    endDue(true);
}

void FaultDriver::inject()
{
    const std::chrono::milliseconds duration(200 + random_() % 2800);
    const auto proxy = random_() % clientLinks_.size();
    switch (random_() % 5) {
    case 0:
        injectAtProxy(proxy, duration);
        break;
    case 1:
        injectAtLinks(proxy, duration);
        break;
    case 2:
        injectAtDatabases(duration);
        break;
    case 3:
        injectAtStore(duration);
        break;
    default:
        ++counts_["configuration"];
        fleet_.configure(++version_);
        break;
    }
}

void FaultDriver::injectAtProxy(std::size_t proxy, std::chrono::milliseconds duration)
{
    if (disturbed_[proxy])
        return;
    disturbed_[proxy] = true;
    auto &process = fleet_.process(proxy);
    const auto kind = random_() % 3;
    if (kind == 0) {
        ++counts_["proxy killed"];
        process.kill();
        endLater(duration, [this, proxy] {
            fleet_.restart(proxy);
            disturbed_[proxy] = false;
        });
    } else if (kind == 1) {
        ++counts_["proxy paused"];
        process.pause();
        endLater(duration, [this, proxy] {
            fleet_.process(proxy).resume();
            disturbed_[proxy] = false;
        });
    } else {
        ++counts_["proxy terminated"];
        ::kill(process.pid(), SIGTERM);
        endLater(grace, [this, proxy] {
            if (!fleet_.process(proxy).waitForExit(0ms))
                history_.recordViolation("a proxy still runs at the end of its grace");
            fleet_.restart(proxy);
            disturbed_[proxy] = false;
        });
    }
}

void FaultDriver::injectAtLinks(std::size_t proxy, std::chrono::milliseconds duration)
{
    const bool client = random_() % 2 == 0;
    auto &link = client ? *clientLinks_[proxy] : fleet_.storeLink(proxy);
    const std::string name = client ? "client link " : "store link ";
    switch (random_() % 4) {
    case 0:
        ++counts_[name + "reset"];
        link.reset();
        break;
    case 1:
        ++counts_[name + "silent"];
        link.disturb(FaultLink::Mode::Silent);
        break;
    case 2:
        ++counts_[name + "cut one way"];
        link.disturb(random_() % 2 == 0 ? FaultLink::Mode::CutToTarget
                                        : FaultLink::Mode::CutToSource);
        break;
    default:
        ++counts_[name + "delayed"];
        link.setDelay(std::chrono::milliseconds(20 + random_() % 300));
        endLater(duration, [&link] { link.heal(); });
        break;
    }
}

void FaultDriver::injectAtDatabases(std::chrono::milliseconds duration)
{
    const auto kind = random_() % 4;
    if (kind == 0) {
        ++counts_["replicas lag"];
        fleet_.fault("lag", R"({"ms": )" + std::to_string(random_() % 1500) + "}");
        endLater(duration, [this] { fleet_.fault("lag", R"({"ms": 0})"); });
        return;
    }
    // One at a time: the group keeps what the others have acknowledged.
    if (databaseDisturbed_)
        return;
    const auto leader = fleet_.leader();
    if (kind == 1) {
        loseAnswer(leader, duration);
        return;
    }
    const auto id = random_() % 2 == 0 ? leader : "db-" + std::to_string(1 + random_() % 3);
    databaseDisturbed_ = true;
    ++counts_[kind == 2 ? "database crashed" : "database silent"];
    fleet_.fault(kind == 2 ? "crash" : "silence", idBody(id));
    endLater(duration + 1s, [this, id] {
        fleet_.fault("revive", idBody(id));
        databaseDisturbed_ = false;
    });
}

/// Loses the answer to the next write at \a id. Where the connection goes on, other clients may
/// take all slots of the server meanwhile, so that its next answers are errors.
void FaultDriver::loseAnswer(const std::string &id, std::chrono::milliseconds duration)
{
    constexpr std::array manners{"close", "silence", "go_on", "cut"};
    const std::string how = manners[lossRandom_() % manners.size()];
    ++counts_["answer lost (" + how + ")"];
    fleet_.fault("lose_answers", R"({"id": ")" + id + R"(", "how": ")" + how + "\"}");
    if (how != "go_on")
        return;
    const auto busy = [this, id](bool on) {
        fleet_.fault("busy", R"({"id": ")" + id + R"(", "on": )" + (on ? "true}" : "false}"));
    };
    const std::chrono::milliseconds after(20 + lossRandom_() % 200);
    endLater(after, [busy] { busy(true); });
    endLater(after + duration / 2, [busy] { busy(false); });
}

void FaultDriver::injectAtStore(std::chrono::milliseconds duration)
{
    switch (random_() % 3) {
    case 0:
        ++counts_["store history lost"];
        fleet_.fault("forget", "{}");
        break;
    case 1:
        ++counts_["store busy"];
        fleet_.fault("store", R"({"mode": "busy"})");
        endLater(duration, [this] { fleet_.fault("store", R"({"mode": "up"})"); });
        break;
    default:
        ++counts_["store silent"];
        fleet_.fault("store", R"({"mode": "silent"})");
        endLater(duration, [this] { fleet_.fault("store", R"({"mode": "up"})"); });
        break;
    }
}

void FaultDriver::endLater(std::chrono::milliseconds after, std::function<void()> end)
{
    ends_.emplace(std::chrono::steady_clock::now() + after, std::move(end));
}

void FaultDriver::endDue(bool all)
{
    while (!ends_.empty()) {
        const auto first = ends_.begin();
        if (!all && first->first > std::chrono::steady_clock::now())
            return;
        std::this_thread::sleep_until(first->first);
        const auto end = std::move(first->second);
        ends_.erase(first);
        end();
    }
}

void FaultDriver::checkProcesses()
{
    for (std::size_t proxy = 0; proxy < disturbed_.size(); ++proxy) {
        if (disturbed_[proxy] || !fleet_.process(proxy).waitForExit(0ms))
            continue;
        history_.recordViolation("a proxy has ended by itself");
        fleet_.restart(proxy);
    }
}

} // namespace shallotwalk::soak
