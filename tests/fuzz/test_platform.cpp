#include "fuzz/decoding.h"
#include "platform/platform.h"
#include "support/oddentries.h"

using namespace shallotwalk;
using namespace shallotwalk::platform;

namespace {

constexpr unsigned rounds = 6000;

/// \a valid and the odd entries that are short enough to be changed many times.
std::vector<std::string> samplesWithOddEntries()
{
    constexpr std::size_t maxBytes = 30'000;
    std::vector<std::string> samples;
    for (const auto &entry : oddServerEntries()) {
        if (!entry.value.empty() && entry.value.size() <= maxBytes)
            samples.push_back(entry.value);
    }
    return samples;
}

} // namespace

// Guards against an entry of the store that ends the process instead of being refused.
BOOST_AUTO_TEST_CASE(entry_of_a_server)
{
    const auto takes = [](const std::string &text) {
        return decodeOrFail([&] { return Documents().decodeServer("i-1", text); }).has_value();
    };
    checkInputs({R"({"service": "bookings", "address": "10.128.0.9:8080", "zone": "nord-a",)"
                 R"( "slots": 2, "state": "draining", "db_role": "primary", "born": 1770000000})"},
                rounds, takes);
    Mutator mutator(samplesWithOddEntries(), 20261205);
    for (unsigned round = 0; round < rounds; ++round)
        takes(mutator.next());
}

// Guards against a configuration that ends the process instead of being refused.
BOOST_AUTO_TEST_CASE(operator_configuration)
{
    checkInputs(
        {R"({"version": 7, "routes": [{"name": "r", "host": "slots", "service": "bookings",)"
         R"( "route_type": "bounded_staleness", "timeout_ms": 1500, "goal_ms": 600,)"
         R"( "priority": 2, "max_staleness_ms": 1500}], "services": [{"name": "bookings",)"
         R"( "max_conns": 16, "sync_replicas": 1}], "limits": {"tx_idle_ms": 3000}})"},
        rounds, [](const std::string &text) {
            return decodeOrFail([&] { return Documents().decodeConfiguration(text); }).has_value();
        });
}

// Guards against an answer of the store that ends the process.
BOOST_AUTO_TEST_CASE(page_of_the_store)
{
    checkInputs(
        {R"({"items": [{"key": "servers/a", "value": "e30=", "revision": 5, "lease": 0}],)"
         R"( "has_more": false, "store_revision": 9})"},
        rounds, [](const std::string &text) {
            HttpResponse response;
            response.status = 200;
            response.body = text;
            return decodeOrFail([&] { return StoreCalls().decodePage(response); }).has_value();
        });
}
