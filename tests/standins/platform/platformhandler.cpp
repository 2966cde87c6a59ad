#include "platformhandler.h"

#include <boost/json.hpp>

#include "wire/storecodec.h"

namespace standin {

namespace json = boost::json;

namespace {

constexpr const char *service = "bookings";
constexpr auto promoteDuration = std::chrono::milliseconds(300);
constexpr auto outagePace = std::chrono::milliseconds(20);

std::string decodeQuery(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded +=
                static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(std::string_view text)
{
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const auto end = text.find('&');
        const auto pair = text.substr(0, end);
        const auto equals = pair.find('=');
        query[std::string(pair.substr(0, equals))] = decodeQuery(pair.substr(equals + 1));
        text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    }
    return query;
}

AnswerLoss toAnswerLoss(std::string_view name)
{
    if (name == "silence")
        return AnswerLoss::Silence;
    if (name == "go_on")
        return AnswerLoss::GoOn;
    return name == "cut" ? AnswerLoss::Cut : AnswerLoss::Close;
}

} // namespace

PlatformHandler::PlatformHandler()
    : group_({"db-1", "db-2", "db-3"})
{
    for (const auto &id : group_.ids()) {
        servers_[id] = std::make_unique<DatabaseServer>(group_, service, id);
        servers_[id]->start();
    }
    const std::scoped_lock lock(mutex_);
    registerServers();
}

void PlatformHandler::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    auto &item = items_[key];
    item.value = value;
    item.lease = lease;
    item.revision = ++revision_;
    if (item.created == 0)
        item.created = revision_;
    history_.push_back({key, item, false});
    changed_.notify_all();
}

void PlatformHandler::erase(const std::string &key)
{
    if (items_.erase(key) == 0)
        return;
    Change change{key, {}, true};
    change.item.revision = ++revision_;
    history_.push_back(change);
    changed_.notify_all();
}

/// Writes the entries of databases that have changed, and removes those of crashed ones.
void PlatformHandler::registerServers()
{
    for (const auto &[id, server] : servers_) {
        const auto key = "servers/" + id;
        const auto [crashed, primary] = group_.with(
            id, [](const auto &member) { return std::pair(member.crashed, member.primary); });
        if (crashed) {
            erase(key);
            continue;
        }
        const auto value = shallotwalk::encodeBase64(
            json::serialize(json::object{{"service", service},
                                         {"address", "127.0.0.1:" + std::to_string(server->port())},
                                         {"zone", "nord-a"},
                                         {"version", "v1"},
                                         {"slots", 2},
                                         {"state", "ready"},
                                         {"cold_left_ms", 0},
                                         {"db_role", primary ? "primary" : "replica"},
                                         {"born", 1},
                                         {"seq_no", 1}}));
        const auto found = items_.find(key);
        if (found == items_.end() || found->second.value != value)
            put(key, value, 0);
    }
}

void PlatformHandler::endLeases()
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(leases_, [&](const auto &entry) {
        if (entry.second.end > now)
            return false;
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == entry.first)
                keys.push_back(key);
        }
        for (const auto &key : keys)
            erase(key);
        return true;
    });
}

/// Responds as the store does: with its era.
bool PlatformHandler::answer(Socket &socket, const Request &request, http::status status,
                             std::string body) const
{
    const std::vector<std::pair<std::string, std::string>> fields{
        {"Store-Era", std::to_string(era_)}};
    return respond(socket, request, status, std::move(body), fields);
}

/// Goes back to the copy, as of the fault "copy". Databases write again what it lacks; what proxies
/// have written since is lost, and so are their leases.
void PlatformHandler::restore()
{
    items_ = copy_.items;
    leases_ = copy_.leases;
    revision_ = copy_.revision;
    lastLease_ = copy_.lastLease;
    std::erase_if(history_,
                  [this](const Change &change) { return change.item.revision > revision_; });
    ++era_;
    registerServers();
    changed_.notify_all();
}

bool PlatformHandler::handle(Socket &socket, const Request &request)
{
    const std::string target(request.target());
    const auto mark = target.find('?');
    const auto path = target.substr(0, mark);
    if (path.starts_with("/fault/"))
        return fault(socket, request, path.substr(7));
    if (path == "/promote")
        return promote(socket, request);
    const auto query = mark == std::string::npos ? std::map<std::string, std::string>()
                                                 : parseQuery(target.substr(mark + 1));
    for (;;) {
        {
            const std::scoped_lock lock(mutex_);
            if (mode_ == Mode::Busy)
                return answer(socket, request, http::status::service_unavailable, "{}");
            if (mode_ == Mode::Up)
                break;
        }
        std::this_thread::sleep_for(outagePace);
    }
    return serveStore(socket, request, path, query);
}

bool PlatformHandler::serveStore(Socket &socket, const Request &request, const std::string &path,
                                 const std::map<std::string, std::string> &query)
{
    if (path == "/shallotwalk/kv-watch")
        return watch(socket, request, query);
    std::unique_lock lock(mutex_);
    endLeases();
    registerServers();
    if (path == "/shallotwalk/kv-range")
        return range(socket, request, query.at("prefix"));
    if (path == "/shallotwalk/kv-txn")
        return transaction(socket, request);
    if (path == "/shallotwalk/kv-key") {
        const auto found = items_.find(query.at("key"));
        if (found == items_.end())
            return answer(socket, request, http::status::not_found, "{}");
        return answer(socket, request, http::status::ok,
                      json::serialize(json::object{{"key", found->first},
                                                   {"value", found->second.value},
                                                   {"revision", found->second.revision},
                                                   {"store_revision", revision_}}));
    }
    return lease(socket, request, path);
}

bool PlatformHandler::range(Socket &socket, const Request &request, const std::string &prefix)
{
    json::array items;
    for (const auto &[key, item] : items_) {
        if (key.starts_with(prefix)) {
            items.push_back(json::object{{"key", key},
                                         {"value", item.value},
                                         {"revision", item.revision},
                                         {"create_rev", item.created},
                                         {"lease", item.lease}});
        }
    }
    return answer(socket, request, http::status::ok,
                  json::serialize(json::object{{"items", std::move(items)},
                                               {"has_more", false},
                                               {"store_revision", revision_}}));
}

bool PlatformHandler::watch(Socket &socket, const Request &request,
                            const std::map<std::string, std::string> &query)
{
    const auto after = std::stoll(query.at("after"));
    const auto end = std::chrono::steady_clock::now()
                     + std::chrono::milliseconds(std::stoll(query.at("wait_ms")));
    std::unique_lock lock(mutex_);
    const std::int64_t era = era_;
    if (after < forgottenBefore_)
        return answer(socket, request, http::status::gone, "{}");
    while (revision_ <= after && std::chrono::steady_clock::now() < end) {
        changed_.wait_for(lock, std::chrono::milliseconds(50));
        endLeases();
        registerServers();
    }
    if (era_ != era)
        return false; // Watches from before a restoration get no answer.
    json::array events;
    for (const auto &change : history_) {
        if (change.item.revision <= after || !change.key.starts_with(query.at("prefix")))
            continue;
        json::object event{{"key", change.key}, {"revision", change.item.revision}};
        if (change.deleted)
            event["deleted"] = true;
        else
            event["value"] = change.item.value;
        events.push_back(std::move(event));
    }
    const auto body =
        json::serialize(json::object{{"events", std::move(events)}, {"store_revision", revision_}});
    lock.unlock();
    return answer(socket, request, http::status::ok, body);
}

bool PlatformHandler::transaction(Socket &socket, const Request &request)
{
    const auto body = json::parse(request.body()).as_object();
    json::array present;
    bool holds = true;
    for (const auto &row : body.at("expected_rev").as_array()) {
        const std::string key(row.at("key").as_string());
        const auto found = items_.find(key);
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("revision").to_number<std::int64_t>();
        present.push_back(
            json::object{{"key", key},
                         {"value", found == items_.end() ? std::string() : found->second.value},
                         {"revision", revision}});
    }
    if (!holds) {
        return answer(socket, request, http::status::precondition_failed,
                      json::serialize(json::object{{"items", std::move(present)}}));
    }
    for (const auto &write : body.at("writes").as_array()) {
        const auto *lease = write.as_object().if_contains("lease");
        put(std::string(write.at("key").as_string()), std::string(write.at("value").as_string()),
            lease == nullptr ? 0 : lease->to_number<std::int64_t>());
    }
    for (const auto &key : body.at("deletes").as_array())
        erase(std::string(key.as_string()));
    return answer(socket, request, http::status::ok,
                  json::serialize(json::object{{"revision", revision_}}));
}

bool PlatformHandler::lease(Socket &socket, const Request &request, const std::string &path)
{
    const auto now = std::chrono::steady_clock::now();
    const auto number = [&] { return std::stoll(path.substr(path.rfind('/') + 1)); };
    if (path == "/shallotwalk/kv-lease") {
        const auto duration =
            Milliseconds(json::parse(request.body()).at("ttl_ms").to_number<std::int64_t>());
        leases_[++lastLease_] = {duration, now + duration};
        return answer(
            socket, request, http::status::ok,
            json::serialize(json::object{{"lease", lastLease_}, {"ttl_ms", duration.count()}}));
    }
    if (path.starts_with("/shallotwalk/kv-keep/")) {
        const auto found = leases_.find(number());
        if (found == leases_.end())
            return answer(socket, request, http::status::not_found, "{}");
        found->second.end = now + found->second.duration;
        return answer(socket, request, http::status::ok, "{}");
    }
    if (path.starts_with("/shallotwalk/kv-lease-end/")) {
        if (const auto found = leases_.find(number()); found != leases_.end())
            found->second.end = now;
        endLeases();
        return answer(socket, request, http::status::ok, "{}");
    }
    return answer(socket, request, http::status::not_found, "{}");
}

bool PlatformHandler::promote(Socket &socket, const Request &request)
{
    const auto body = json::parse(request.body());
    const std::string id(body.at("id").as_string());
    const auto token = std::stoll(std::string(request["X-Fencing-Token"]));
    std::this_thread::sleep_for(promoteDuration);
    if (!group_.promote(id, token))
        return respond(socket, request, http::status::conflict, "{}");
    const std::scoped_lock lock(mutex_);
    registerServers();
    return respond(socket, request, http::status::ok, "{}");
}

bool PlatformHandler::fault(Socket &socket, const Request &request, const std::string &path)
{
    const auto body = json::parse(request.body()).as_object();
    const auto id = [&] { return std::string(body.at("id").as_string()); };
    if (path == "config") {
        const std::scoped_lock lock(mutex_);
        put("op/config", shallotwalk::encodeBase64(json::serialize(body)), 0);
    } else if (path == "store") {
        const std::scoped_lock lock(mutex_);
        const std::string mode(body.at("mode").as_string());
        mode_ = mode == "busy" ? Mode::Busy : mode == "silent" ? Mode::Silent : Mode::Up;
    } else if (path == "forget") {
        const std::scoped_lock lock(mutex_);
        forgottenBefore_ = revision_ + 1;
        ++revision_;
        changed_.notify_all();
    } else if (path == "copy") {
        const std::scoped_lock lock(mutex_);
        copy_ = {items_, leases_, revision_, lastLease_};
    } else if (path == "restore") {
        const std::scoped_lock lock(mutex_);
        restore();
    } else if (path == "entry") {
        // The value as text, or as base64 where it holds bytes that JSON can't.
        const auto *encoded = body.if_contains("base64");
        const std::scoped_lock lock(mutex_);
        put(std::string(body.at("key").as_string()),
            encoded != nullptr
                ? std::string(encoded->as_string())
                : shallotwalk::encodeBase64(std::string_view(body.at("value").as_string())),
            0);
    } else if (path == "crash") {
        group_.with(id(), [](auto &member) { member.crashed = true; });
        servers_.at(id())->closeConnections();
        const std::scoped_lock lock(mutex_);
        registerServers();
    } else if (path == "silence") {
        group_.with(id(), [](auto &member) { member.silent = true; });
    } else if (path == "revive") {
        group_.revive(id());
        const std::scoped_lock lock(mutex_);
        registerServers();
    } else if (path == "lose_answers") {
        const auto *how = body.if_contains("how");
        const auto loss =
            how == nullptr ? AnswerLoss::Close : toAnswerLoss(std::string_view(how->as_string()));
        group_.with(id(), [loss](auto &member) {
            member.lostAnswers = 1;
            member.answerLoss = loss;
        });
    } else if (path == "busy") {
        const bool busy = body.at("on").as_bool();
        group_.with(id(), [busy](auto &member) { member.busy = busy; });
    } else if (path == "lag") {
        group_.setLag(Milliseconds(body.at("ms").to_number<std::int64_t>()));
    } else if (path == "reads") {
        group_.setReads(Milliseconds(body.at("ms").to_number<std::int64_t>()),
                        body.at("rows").to_number<std::size_t>());
    } else if (path == "log") {
        return respond(socket, request, http::status::ok, group_.log());
    } else if (path == "tenants") {
        return respond(socket, request, http::status::ok, group_.tenants());
    } else if (path == "leader") {
        return respond(socket, request, http::status::ok, group_.leader());
    } else {
        return respond(socket, request, http::status::not_found, "{}");
    }
    return respond(socket, request, http::status::ok, "{}");
}

} // namespace standin
