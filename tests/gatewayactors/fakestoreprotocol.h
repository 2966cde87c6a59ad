#pragma once

#include "gateway/protocols.h"

namespace shallotwalk {

/// Store protocol for tests. Each call's method is the name of the operation; the target of a write
/// is the expected revision, or -1 if none is set. Answers are decoded to fixed values, and that of
/// a write to a value set by the test.
class FakeStoreProtocol : public StoreProtocol
{
public:
    Result<std::int64_t> decodeEra(const HttpResponse &) const override
    {
        return written.revision.era();
    }
    HttpCall list(std::string_view, std::string_view) const override { return call("list"); }
    Result<StorePage> decodePage(const HttpResponse &) const override { return StorePage{}; }
    HttpCall watch(std::string_view, StoreRevision, Duration) const override
    {
        return call("watch");
    }
    Result<StoreChanges> decodeChanges(const HttpResponse &) const override
    {
        return StoreChanges{};
    }
    HttpCall read(std::string_view) const override { return call("read"); }
    Result<std::optional<KeyValue>> decodeItem(const HttpResponse &) const override
    {
        return std::optional<KeyValue>();
    }
    HttpCall write(std::string_view, std::string_view, std::uint64_t,
                   std::optional<StoreRevision> expectedRevision) const override
    {
        return call("write", toString(expectedRevision.value_or(-1)));
    }
    Result<StoreWrite> decodeWrite(const HttpResponse &) const override { return written; }
    HttpCall remove(std::string_view) const override { return call("remove"); }
    HttpCall grantLease(Duration) const override { return call("grant"); }
    Result<std::uint64_t> decodeLease(const HttpResponse &) const override { return 1; }
    HttpCall renewLease(std::uint64_t) const override { return call("renew"); }
    Result<bool> decodeRenewal(const HttpResponse &) const override { return true; }
    HttpCall endLease(std::uint64_t) const override { return call("end"); }

    StoreWrite written; ///< Decoded outcome of each write.

private:
    static HttpCall call(std::string method, std::string target = {})
    {
        HttpCall call;
        call.method = std::move(method);
        call.target = std::move(target);
        return call;
    }
};

} // namespace shallotwalk
