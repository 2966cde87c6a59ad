#pragma once

#include "../common/httpserver.h"
#include "databaseserver.h"

#include <boost/json/object.hpp>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace standin {

/// Stand-in for the platform: its store, its call to promote a database, and the faults that a test
/// asks for under /fault/. Databases keep their entries under servers/ up to date.
class PlatformHandler : public RequestHandler
{
public:
    PlatformHandler();

    bool handle(Socket &socket, const Request &request) override;

private:
    struct Item
    {
        std::string value; ///< As sent, in base64.
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Change
    {
        std::string key;
        Item item;
        bool deleted = false;
    };
    struct Lease
    {
        Milliseconds duration{0};
        SteadyTime end;
    };
    /// State that the store can go back to.
    struct Copy
    {
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 1;
        std::int64_t lastLease = 100;
    };
    enum class Mode { Up, Busy, Silent };

    bool answer(Socket &socket, const Request &request, http::status status,
                std::string body) const;
    bool serveStore(Socket &socket, const Request &request, const std::string &path,
                    const std::map<std::string, std::string> &query);
    bool range(Socket &socket, const Request &request, const std::string &prefix);
    bool watch(Socket &socket, const Request &request,
               const std::map<std::string, std::string> &query);
    bool transaction(Socket &socket, const Request &request);
    bool lease(Socket &socket, const Request &request, const std::string &path);
    bool promote(Socket &socket, const Request &request);
    bool fault(Socket &socket, const Request &request, const std::string &path);
    void put(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void endLeases();
    void registerServers();
    void restore();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Change> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 100;
    std::int64_t forgottenBefore_ = 0; ///< Watches from older revisions get 410.
    Copy copy_;
    std::atomic<std::int64_t> era_{1};
    Mode mode_ = Mode::Up;
    DatabaseGroup group_;
    std::map<std::string, std::unique_ptr<DatabaseServer>> servers_;
};

} // namespace standin
