#include "core/leavingservers.h"
#include "core/watchview.h"
#include "support/printrevision.h"
#include "wire/storecodec.h"
#include "wire/vmlistcodec.h"

#include <boost/test/unit_test.hpp>

using namespace shallotwalk;
using std::chrono::seconds;

namespace {

VmEntry entry(bool leaving)
{
    return {"db-1", "127.0.0.1", "nord1", "database", leaving};
}

} // namespace

// Guards against new work for a VM that a stale list shows as live again or drops (R7).
BOOST_AUTO_TEST_CASE(a_vm_stays_leaving_for_a_time_after_it_was_last_listed_so)
{
    LeavingServers servers;
    const std::vector leaving{entry(true)};
    const std::vector live{entry(false)};
    const TimePoint start{};
    BOOST_TEST(!servers.isLeaving("db-1", start));
    servers.update(leaving, start);
    BOOST_TEST(servers.isLeaving("db-1", start + seconds(500)));
    servers.update(live, start + seconds(500));
    servers.update({}, start + seconds(530));
    BOOST_TEST(servers.isLeaving("db-1", start + seconds(559)));
    BOOST_TEST(!servers.isLeaving("db-1", start + seconds(560)));
    servers.update(leaving, start + seconds(600));
    BOOST_TEST(servers.leaving(start + seconds(600)).size() == 1U);
}

// Guards against an older revision that is reported after a newer one, from a late event or from
// a read of an endpoint that is behind.
BOOST_AUTO_TEST_CASE(a_watch_view_never_goes_back)
{
    WatchView view;
    const std::vector<KeyValue> present{{"a", "1", 5}, {"b", "1", 6}};
    BOOST_TEST(view.applyRead(present, 8)->size() == 2U);
    const std::vector<KeyValue> late{{"a", "0", 4}};
    BOOST_TEST(view.applyEvents(late, {false}).empty());
    const std::vector<KeyValue> events{{"a", "2", 9}, {"b", "", 10}};
    const auto changes = view.applyEvents(events, {false, true});
    BOOST_REQUIRE(changes.size() == 2U);
    BOOST_TEST(changes[1].modRevision == 0);
    BOOST_TEST(!view.applyRead(present, 9).has_value());
    BOOST_TEST(view.applyRead(std::vector<KeyValue>{{"a", "2", 9}}, 10)->empty());
    BOOST_TEST(view.revision() == 10);
}

// Guards against a deletion during a lost watch that is never reported.
BOOST_AUTO_TEST_CASE(a_read_reports_keys_that_are_gone)
{
    WatchView view;
    view.applyRead(std::vector<KeyValue>{{"a", "1", 5}}, 5);
    const auto changes = view.applyRead({}, 7);
    BOOST_REQUIRE(changes->size() == 1U);
    BOOST_TEST((changes->front() == KeyValue{"a", "", 0}));
}

// Guards against a coding that differs from the published one.
BOOST_AUTO_TEST_CASE(store_codec_follows_the_published_mapping)
{
    BOOST_TEST(encodeBase64("foo") == "Zm9v");
    BOOST_TEST(encodeBase64("fo") == "Zm8=");
    BOOST_TEST(decodeBase64("Zm8=").value() == "fo");
    BOOST_TEST(!decodeBase64("Zm8"));
    BOOST_TEST(!decodeBase64("Z!8="));
    BOOST_TEST(prefixEnd("a\xff") == "b");
    BOOST_TEST(encodeSwapRequest("foo", "bar", 7)
               == R"({"compare":[{"key":"Zm9v","target":"MOD","result":"EQUAL",)"
                  R"("mod_revision":"7"}],"success":[{"request_put":{"key":"Zm9v",)"
                  R"("value":"YmFy"}}],"failure":[{"request_range":{"key":"Zm9v"}}]})");
    const auto range = decodeRangeResponse(
        R"({"header":{"revision":"12"},"kvs":[{"key":"Zm9v","mod_revision":"9","value":"YmFy"}]})");
    BOOST_REQUIRE(!!range);
    BOOST_TEST((range.value().values.at(0) == KeyValue{"foo", "bar", 9}));
    BOOST_TEST(!decodeRangeResponse(R"({"kvs":[]})"));
    BOOST_TEST(!decodeRangeResponse(R"({"header":{"revision":"x"}})"));
    const auto message = decodeWatchMessage(
        R"({"result":{"header":{"revision":"3"},"events":[{"type":"DELETE","kv":{"key":"Zm9v"}}]}})");
    BOOST_REQUIRE(!!message);
    BOOST_TEST(message.value().deleted.at(0));
}

// Guards against an entry with an unknown state that passes for live.
BOOST_AUTO_TEST_CASE(vm_list_codec_refuses_unknown_states)
{
    const std::string start =
        R"([{"vm":"a","host":"h","dataCentre":"d","role":"proxy","zone":1,"state":")";
    BOOST_TEST(decodeVmList(start + "leaving\"}]").value().at(0).leaving);
    BOOST_TEST(!decodeVmList(start + "gone\"}]"));
}
