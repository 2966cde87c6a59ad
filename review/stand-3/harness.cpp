#include "harness.h"

#include <boost/json/src.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t recordedBytes = 200;
constexpr auto forever = 100000ms;
/// A message has at most 1 MiB.
constexpr std::size_t maxMessageBytes = std::size_t{1} << 20;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Binds to a free port of 127.0.0.1 and returns it.
std::uint16_t bindFree(int descriptor)
{
    auto address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0)
        throw std::runtime_error("no free port");
    return ntohs(address.sin_port);
}

std::string encodeBase64(const std::string &text)
{
    constexpr const char *digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < text.size() ? static_cast<std::uint8_t>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            encoded += i + j <= text.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return encoded;
}

std::string decodePercent(const std::string &text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::string headerValue(const std::string &head, std::string name)
{
    const auto lower = [](std::string text) {
        std::transform(text.begin(), text.end(), text.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        return text;
    };
    const auto found = lower(head).find("\r\n" + lower(std::move(name)) + ":");
    if (found == std::string::npos)
        return {};
    const auto begin = head.find_first_not_of(' ', head.find(':', found) + 1);
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr)
        throw std::runtime_error("cannot write " + path);
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::write(const std::string &text)
{
    const std::scoped_lock lock(mutex_);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - start_).count();
    const auto cut = text.size() > recordedBytes ? text.substr(0, recordedBytes) + "... "
                                                       + std::to_string(text.size()) + " bytes"
                                                 : text;
    std::fprintf(file_, "%8lld %s\n", static_cast<long long>(elapsed), cut.c_str());
    std::fflush(file_);
}

Listener::Listener(Serve serve)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    port_ = bindFree(listener);
    ::listen(listener, 512);
    std::thread([listener, serve = std::move(serve)] {
        for (;;) {
            const int descriptor = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int on = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([descriptor, serve] {
                serve(descriptor);
                ::close(descriptor);
            }).detach();
        }
    }).detach();
}

bool Reader::fill(Clock::time_point deadline)
{
    const auto left = std::chrono::ceil<Milliseconds>(deadline - Clock::now());
    pollfd entry{descriptor_, POLLIN, 0};
    if (::poll(&entry, 1, std::max<int>(0, static_cast<int>(left.count()))) <= 0)
        return false;
    char bytes[65536];
    const auto size = ::recv(descriptor_, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<std::string> Reader::until(const std::string &end, Milliseconds wait)
{
    const auto deadline = Clock::now() + wait;
    std::size_t scanned = 0;
    for (;;) {
        const auto found = buffer_.find(end, scanned);
        if (found != std::string::npos) {
            auto text = buffer_.substr(0, found);
            buffer_.erase(0, found + end.size());
            return text;
        }
        scanned = buffer_.size() < end.size() ? 0 : buffer_.size() - end.size();
        if (!fill(deadline))
            return std::nullopt;
    }
}

std::optional<std::string> Reader::bytes(std::size_t size, Milliseconds wait)
{
    const auto deadline = Clock::now() + wait;
    while (buffer_.size() < size) {
        if (!fill(deadline))
            return std::nullopt;
    }
    auto text = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return text;
}

bool sendAll(int descriptor, const std::string &bytes)
{
    for (std::size_t sent = 0; sent < bytes.size();) {
        const auto size =
            ::send(descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

int connectTo(std::uint16_t port, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string takeWord(std::string &text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

Store::Store()
{
    listener_ = std::make_unique<Listener>([this](int descriptor) { serve(descriptor); });
}

void Store::put(const std::string &key, const std::string &value, std::int64_t lease)
{
    const std::scoped_lock lock(mutex_);
    putEncoded(key, encodeBase64(value), lease);
}

void Store::putEncoded(const std::string &key, const std::string &value, std::int64_t lease)
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

void Store::erase(const std::string &key)
{
    if (items_.erase(key) == 0)
        return;
    Change change{key, {}, true};
    change.item.revision = ++revision_;
    history_.push_back(change);
    changed_.notify_all();
}

void Store::endLeases()
{
    const auto now = Clock::now();
    for (auto lease = leases_.begin(); lease != leases_.end();) {
        if (lease->second.end > now) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : items_) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        for (const auto &key : keys)
            erase(key);
        lease = leases_.erase(lease);
    }
}

void Store::serve(int descriptor)
{
    Reader reader(descriptor);
    while (auto head = reader.until("\r\n\r\n", forever)) {
        const auto length = headerValue(*head, "Content-Length");
        const auto body = reader.bytes(length.empty() ? 0 : std::stoul(length), forever);
        if (!body)
            return;
        std::string line = head->substr(0, head->find("\r\n"));
        takeWord(line);
        const auto target = takeWord(line);
        const auto mark = target.find('?');
        std::map<std::string, std::string> query;
        if (mark != std::string::npos) {
            for (std::string rest = target.substr(mark + 1); !rest.empty();) {
                const auto end = rest.find('&');
                const auto pair = rest.substr(0, end);
                rest.erase(0, end == std::string::npos ? rest.size() : end + 1);
                const auto equals = pair.find('=');
                query[pair.substr(0, equals)] = decodePercent(pair.substr(equals + 1));
            }
        }
        const auto [status, text] =
            answer(target.substr(0, mark), query, *body, headerValue(*head, "X-Fencing-Token"));
        if (!sendAll(descriptor, "HTTP/1.1 " + std::to_string(status)
                                     + " Status\r\nContent-Type: application/json\r\n"
                                       "Content-Length: "
                                     + std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

std::pair<int, std::string> Store::answer(const std::string &path,
                                          std::map<std::string, std::string> &query,
                                          const std::string &body, const std::string &token)
{
    if (path == "/promote") {
        const auto id = std::string(json::parse(body).at("id").as_string());
        return {promote && promote(id, std::stoll(token)) ? 200 : 409, "{}"};
    }
    std::unique_lock lock(mutex_);
    endLeases();
    const auto number = [&] { return std::stoll(path.substr(path.rfind('/') + 1)); };
    if (path == "/shallotwalk/kv-watch")
        return {200, watch(query, lock)};
    if (path == "/shallotwalk/kv-txn")
        return transaction(body);
    if (path == "/shallotwalk/kv-range") {
        json::array items;
        for (const auto &[key, item] : items_) {
            if (key.starts_with(query["prefix"]))
                items.push_back(json::object{{"key", key},
                                             {"value", item.value},
                                             {"revision", item.revision},
                                             {"create_rev", item.created},
                                             {"lease", item.lease}});
        }
        return {200, json::serialize(json::object{{"items", std::move(items)},
                                                  {"has_more", false},
                                                  {"store_revision", revision_}})};
    }
    if (path == "/shallotwalk/kv-key") {
        const auto found = items_.find(query["key"]);
        if (found == items_.end())
            return {404, "{}"};
        return {200, json::serialize(json::object{{"key", found->first},
                                                  {"value", found->second.value},
                                                  {"revision", found->second.revision},
                                                  {"create_rev", found->second.created},
                                                  {"lease", found->second.lease},
                                                  {"store_revision", revision_}})};
    }
    if (path == "/shallotwalk/kv-lease") {
        const Milliseconds duration(json::parse(body).at("ttl_ms").to_number<std::int64_t>());
        leases_[++lastLease_] = {duration, Clock::now() + duration};
        return {200,
                json::serialize(json::object{{"lease", lastLease_}, {"ttl_ms", duration.count()}})};
    }
    if (path.starts_with("/shallotwalk/kv-keep/")) {
        const auto found = leases_.find(number());
        if (found == leases_.end())
            return {404, "{}"};
        found->second.end = Clock::now() + found->second.duration;
        return {200, "{}"};
    }
    if (path.starts_with("/shallotwalk/kv-lease-end/")) {
        if (const auto found = leases_.find(number()); found != leases_.end())
            found->second.end = Clock::now();
        endLeases();
        return {200, "{}"};
    }
    return {404, "{}"};
}

std::string Store::watch(std::map<std::string, std::string> &query,
                         std::unique_lock<std::mutex> &lock)
{
    const auto after = std::stoll(query["after"]);
    const auto end = Clock::now() + Milliseconds(std::stoll(query["wait_ms"]));
    while (revision_ <= after && Clock::now() < end) {
        changed_.wait_for(lock, 50ms);
        endLeases();
    }
    json::array events;
    for (const auto &change : history_) {
        if (change.item.revision <= after || !change.key.starts_with(query["prefix"]))
            continue;
        json::object event{{"key", change.key}, {"revision", change.item.revision}};
        if (change.deleted) {
            event["deleted"] = true;
        } else {
            event["value"] = change.item.value;
            event["create_rev"] = change.item.created;
            event["lease"] = change.item.lease;
        }
        events.push_back(std::move(event));
    }
    return json::serialize(
        json::object{{"events", std::move(events)}, {"store_revision", revision_}});
}

std::pair<int, std::string> Store::transaction(const std::string &body)
{
    const auto call = json::parse(body).as_object();
    const auto rows = [&](const char *name) {
        const auto *list = call.if_contains(name);
        return list == nullptr ? json::array() : list->as_array();
    };
    json::array present;
    bool holds = true;
    for (const auto &row : rows("expected_rev")) {
        const std::string key(row.at("key").as_string());
        const auto found = items_.find(key);
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("revision").to_number<std::int64_t>();
        present.push_back(
            json::object{{"key", key},
                         {"value", found == items_.end() ? std::string() : found->second.value},
                         {"revision", revision}});
    }
    if (!holds)
        return {412, json::serialize(json::object{{"items", std::move(present)}})};
    for (const auto &write : rows("writes")) {
        const auto *lease = write.as_object().if_contains("lease");
        const auto number = lease == nullptr ? 0 : lease->to_number<std::int64_t>();
        if (number != 0 && !leases_.contains(number))
            return {404, "{}"};
        putEncoded(std::string(write.at("key").as_string()),
                   std::string(write.at("value").as_string()), number);
    }
    for (const auto &key : rows("deletes"))
        erase(std::string(key.as_string()));
    return {200, json::serialize(json::object{{"revision", revision_}})};
}

Service::Service(Store &store, Record &record, const Options &options, std::size_t databases)
    : record_(record)
    , options_(options)
{
    for (std::size_t i = 0; i < databases; ++i) {
        auto database = std::make_unique<Database>();
        database->id = "db-" + std::to_string(i + 1);
        database->primary = i == 0;
        database->listener = std::make_unique<Listener>(
            [this, &entry = *database](int descriptor) { serve(entry, descriptor); });
        store.put("servers/" + database->id,
                  json::serialize(json::object{
                      {"service", options_.name},
                      {"address", "127.0.0.1:" + std::to_string(database->listener->port())},
                      {"zone", "nord-a"},
                      {"version", "v1"},
                      {"slots", options_.slots},
                      {"state", "ready"},
                      {"cold_left_ms", 0},
                      {"db_role", i == 0 ? "primary" : "replica"},
                      {"born", 1790000000000},
                      {"seq_no", 1}}));
        databases_.push_back(std::move(database));
    }
}

std::size_t Service::effects(const std::string &id)
{
    const std::scoped_lock lock(mutex_);
    return static_cast<std::size_t>(std::count(log_.begin(), log_.end(), id));
}

bool Service::wasRead(const std::string &id)
{
    const std::scoped_lock lock(mutex_);
    return std::find(reads_.begin(), reads_.end(), id) != reads_.end();
}

bool Service::wasStarted(const std::string &id)
{
    const std::scoped_lock lock(mutex_);
    return std::find(started_.begin(), started_.end(), id) != started_.end();
}

std::string Service::position()
{
    const std::scoped_lock lock(mutex_);
    return "1." + std::to_string(log_.size());
}

void Service::serve(Database &database, int descriptor)
{
    ++database.connections;
    Reader reader(descriptor);
    Session session;
    while (auto line = reader.until("\r\n", forever)) {
        if (line->size() + 2 > maxMessageBytes) {
            record_.write(database.id + " refuses a message of " + std::to_string(line->size() + 2)
                          + " bytes");
            sendAll(descriptor, "ERR TOOBIG\r\n");
            break;
        }
        const auto word = takeWord(*line);
        std::string text;
        if (word == "START") {
            if (takeWord(*line) != options_.name) {
                sendAll(descriptor, "ERR MISROUTED\r\n");
                break;
            }
            text = "READY I " + position() + "\r\n";
        } else if (word == "QUERY") {
            const auto id = takeWord(*line);
            text = answer(database, session, id, std::move(*line));
        } else {
            break;
        }
        if (!sendAll(descriptor, text))
            break;
    }
    --database.connections;
}

std::string Service::answer(Database &database, Session &session, const std::string &id,
                            std::string text)
{
    auto verb = takeWord(text);
    if (verb == "AFTER") {
        takeWord(text); // Each log here holds all commits.
        verb = takeWord(text);
    }
    bool lost = false;
    auto answer = run(database, session, id, verb, text, lost);
    if (id != "-" || verb == "STATUS")
        record_.write(database.id + " runs " + id + ' ' + verb + " -> "
                      + answer.substr(0, answer.find("\r\n")) + (lost ? " (answer lost)" : ""));
    if (lost)
        return {};
    if (answer.starts_with("ERR") && session.state == 'T')
        session.state = 'E';
    return answer + "READY " + session.state + ' ' + position() + "\r\n";
}

std::string Service::run(Database &database, Session &session, const std::string &id,
                         const std::string &verb, const std::string &rest, bool &lost)
{
    const std::string done = "DONE -\r\n";
    if (verb == "ROLLBACK") {
        session.state = 'I';
        session.writes.clear();
        return done;
    }
    if (session.state == 'E')
        return "ERR MALFORMED\r\n";
    if (verb == "BEGIN") {
        if (rest.empty() && !database.primary)
            return "ERR READONLY " + database.id + "\r\n";
        session.state = 'T';
        return done;
    }
    if (verb == "STATUS") {
        const std::scoped_lock lock(database.mutex);
        if (database.busy >= options_.slots)
            return "ERR BUSY " + database.id + "\r\n";
        return std::string("ROW ") + (database.primary ? "primary" : "replica") + " 1 " + position()
               + " 0 0 " + std::to_string(database.busy) + ' '
               + std::to_string(database.connections) + "\r\n" + done;
    }
    if (verb == "SET")
        return done;
    if (verb == "RESET") {
        session.prepared.clear();
        return done;
    }
    if (verb == "PREPARE") {
        auto text = rest;
        const auto name = takeWord(text);
        session.prepared[name] = takeWord(text);
        return done;
    }
    auto kind = verb;
    if (verb == "EXEC") {
        auto text = rest;
        const auto found = session.prepared.find(takeWord(text));
        if (found == session.prepared.end())
            return "ERR NOSTMT\r\n";
        kind = found->second;
    }
    if (kind == "WRITE" && !database.primary)
        return "ERR READONLY " + database.id + "\r\n";
    if (!work(database, id))
        return "ERR BUSY " + database.id + "\r\n";
    if (kind == "READ") {
        {
            const std::scoped_lock lock(mutex_);
            reads_.push_back(id);
        }
        std::string rows;
        for (std::size_t i = 0; i < options_.readRows; ++i)
            rows += "ROW " + std::string(options_.rowBytes, 'a') + "\r\n";
        return rows + "DONE r." + id + "\r\n";
    }
    if (kind == "COMMIT")
        return commit(session, id, lost);
    session.writes.push_back(id);
    return session.state == 'T' ? "DONE w." + id + "\r\n" : commit(session, id, lost);
}

std::string Service::commit(Session &session, const std::string &id, bool &lost)
{
    session.state = 'I';
    lost = !session.writes.empty() && losesAnswer && losesAnswer(id);
    const std::scoped_lock lock(mutex_);
    log_.insert(log_.end(), session.writes.begin(), session.writes.end());
    session.writes.clear();
    return "DONE c." + id + "\r\n";
}

bool Service::work(Database &database, const std::string &id)
{
    std::unique_lock lock(database.mutex);
    if (database.busy >= options_.slots && database.waiting >= options_.queue)
        return false;
    ++database.waiting;
    database.freed.wait(lock, [&] { return database.busy < options_.slots; });
    --database.waiting;
    ++database.busy;
    lock.unlock();
    {
        const std::scoped_lock started(mutex_);
        started_.push_back(id);
    }
    record_.write(database.id + " begins " + id);
    std::this_thread::sleep_for(options_.work);
    lock.lock();
    --database.busy;
    database.freed.notify_one();
    return true;
}

Client::Client(std::uint16_t port, Record &record, std::string name, int receiveBuffer)
    : descriptor_(connectTo(port, receiveBuffer))
    , reader_(descriptor_)
    , record_(record)
    , name_(std::move(name))
{
}

Client::~Client()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

Client::Answer Client::start(const std::string &database)
{
    record_.write(name_ + " sends START " + database);
    sendAll(descriptor_, "START " + database + " key\r\n");
    return receive("START", 2000ms);
}

Client::Answer Client::query(const std::string &id, const std::string &text, Milliseconds wait)
{
    send(id, text);
    return receive(id, wait);
}

void Client::send(const std::string &id, const std::string &text)
{
    record_.write(name_ + " sends " + id + ' ' + text);
    sendAll(descriptor_, "QUERY " + id + ' ' + text + "\r\n");
}

Client::Answer Client::receive(const std::string &id, Milliseconds wait)
{
    Answer answer;
    const auto deadline = Clock::now() + wait;
    while (!answer.complete) {
        auto line = reader_.until("\r\n", std::chrono::ceil<Milliseconds>(deadline - Clock::now()));
        if (!line)
            break;
        const auto word = takeWord(*line);
        if (word == "ROW") {
            ++answer.rows;
            answer.rowBytes += line->size();
        } else if (word == "DONE") {
            answer.signature = *line;
        } else if (word == "ERR") {
            answer.error = *line;
        } else if (word == "READY") {
            answer.complete = true;
        }
    }
    record_.write(name_ + " gets for " + id + ": "
                  + (!answer.complete        ? std::string("no complete answer")
                     : !answer.error.empty() ? "ERR " + answer.error
                                             : "DONE " + answer.signature)
                  + ", " + std::to_string(answer.rowBytes) + " bytes of rows");
    return answer;
}

Proxy::Proxy(const std::string &name, const Store &store, int memoryMb)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-3-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    directory_ = pattern;
    // The ports are free when they are chosen; the proxy binds them at once.
    std::vector<int> descriptors;
    std::vector<std::uint16_t> ports;
    for (int i = 0; i < 4; ++i) {
        descriptors.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        ports.push_back(bindFree(descriptors.back()));
    }
    for (const int descriptor : descriptors)
        ::close(descriptor);
    front_ = ports[0];
    ready_ = ports[1];
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    const json::object settings{
        {"node_name", name},
        {"role", "proxy"},
        {"machine_class", "front"},
        {"serves", {"front"}},
        {"ip", "127.0.0.1"},
        {"zone", "nord-a"},
        {"region", "nord"},
        {"zones", {{"nord-a", "nord"}}},
        {"listen", {{"front", address(front_)}, {"ready", address(ready_)}}},
        {"internal_ports", {ports[2], ports[2] + 15}},
        {"bootstrap", true},
        {"limits",
         {{"cpu_share", 0.5},
          {"cores", 1},
          {"memory_mb", memoryMb},
          {"max_fds", 6300},
          {"link_mbps", 1500.0},
          {"disk_mb", 0}}},
        {"discovery", "platform"},
        {"entry", "vip"},
        {"heartbeat_ms", 1200},
        {"contracts", {"base", "drain", "config", "cost", "recover", "sql", "platform"}},
        {"bounds",
         {{"stable_ms", 4000},
          {"drain_ms", 7000},
          {"grace_s", 6},
          {"loss_slack_ms", 200},
          {"config_apply_ms", 3000},
          {"fencing_required", true}}},
        {"platform",
         {{"address", address(store.port())},
          {"form", "kv"},
          {"writes_per_s", 400},
          {"reads_per_s", 2000},
          {"history_s", 20},
          {"value_bytes", 1048576},
          {"ttl_min_ms", 1000}}},
        {"cloud_api",
         {{"address", address(store.port())},
          {"rate_per_s", 50.0},
          {"duties", {"promotion"}},
          {"duty_per_s", 50.0}}}};
    const auto path = directory_ + "/local.json";
    std::ofstream(path) << json::serialize(settings);
    const auto log = directory_ + "/log";
    pid_ = ::fork();
    if (pid_ == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("SHALLOTWALK_BOOT", path.c_str(), 1);
        if (std::freopen(log.c_str(), "w", stdout) == nullptr)
            ::_exit(127);
        ::execl("target/platform/shallotwalk-platform", "target/platform/shallotwalk-platform",
                static_cast<char *>(nullptr));
        ::_exit(127);
    }
}

Proxy::~Proxy()
{
    if (pid_ > 0) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
    }
    if (const char *kept = std::getenv("KEEP_LOGS"))
        std::filesystem::copy(directory_, kept);
    std::error_code error;
    std::filesystem::remove_all(directory_, error);
}

bool Proxy::ready() const
{
    const int descriptor = connectTo(ready_);
    if (descriptor < 0)
        return false;
    sendAll(descriptor, "GET /shallotwalk/readiness HTTP/1.1\r\nHost: a\r\n\r\n");
    const auto head = Reader(descriptor).until("\r\n", 1000ms);
    ::close(descriptor);
    return head && head->find(" 200 ") != std::string::npos;
}

bool Proxy::waitUntilReady(Milliseconds wait)
{
    const auto deadline = Clock::now() + wait;
    while (!ready()) {
        if (Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

void Proxy::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

bool Proxy::ended(Milliseconds wait)
{
    const auto deadline = Clock::now() + wait;
    while (pid_ > 0) {
        if (::waitpid(pid_, nullptr, WNOHANG) == pid_) {
            pid_ = -1;
            return true;
        }
        if (Clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(10ms);
    }
    return true;
}

std::size_t Proxy::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return file ? resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE)) : 0;
}

void configure(Store &store, const Service &service, int timeoutMs, int goalMs, int maxConnections)
{
    const auto route = [&](const char *database, const char *type) {
        return json::object{{"name", std::string("r-") + database},
                            {"host", database},
                            {"prefix", "/"},
                            {"route_type", type},
                            {"timeout_ms", timeoutMs},
                            {"goal_ms", goalMs},
                            {"priority", 1},
                            {"service", service.name()},
                            {"max_attempts", 2},
                            {"max_staleness_ms", 1500}};
    };
    store.put(
        "op/config",
        json::serialize(json::object{
            {"version", 1},
            {"routes", {route("rounds", "primary"), route("slots", "bounded_staleness")}},
            {"services", {json::object{{"name", service.name()}, {"max_conns", maxConnections}}}},
            {"limits", {{"tx_idle_ms", 3000}}}}));
}

} // namespace review
