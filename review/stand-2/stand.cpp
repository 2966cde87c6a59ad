#include "stand.h"

#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <thread>

namespace stand {

namespace json = boost::json;

namespace {

constexpr std::size_t messageLimit = std::size_t{1} << 20;
constexpr auto idleLimit = std::chrono::minutes(5);

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int millisecondsUntil(Clock::time_point end)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(end - Clock::now()).count();
    return static_cast<int>(std::max<long long>(left, 0));
}

std::string take(std::string &text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

std::string toBase64(std::string_view bytes)
{
    static constexpr std::string_view digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const auto count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t j = 0; j < 3; ++j)
            group = group << 8U | (j < count ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        for (std::size_t j = 0; j < 4; ++j)
            text += j <= count ? digits[group >> (18 - 6 * j) & 63U] : '=';
    }
    return text;
}

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

} // namespace

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
    , start_(Clock::now())
{
}

Record::~Record()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

void Record::line(const std::string &text)
{
    const std::scoped_lock lock(mutex_);
    const double seconds = std::chrono::duration<double>(Clock::now() - start_).count();
    for (auto *file : {file_, stderr}) {
        if (file == nullptr)
            continue;
        std::fprintf(file, "%7.3f %s\n", seconds, text.c_str());
        std::fflush(file);
    }
}

Connection::~Connection()
{
    ::close(descriptor_);
}

std::unique_ptr<Connection> Connection::open(std::uint16_t port, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const auto address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    return std::make_unique<Connection>(descriptor);
}

bool Connection::write(std::string_view bytes)
{
    return writeSome(bytes, idleLimit) == bytes.size();
}

std::size_t Connection::writeSome(std::string_view bytes, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    std::size_t written = 0;
    while (written < bytes.size()) {
        const auto count = ::send(descriptor_, bytes.data() + written, bytes.size() - written,
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            ended_ = true;
            break;
        }
        pollfd ready{descriptor_, POLLOUT, 0};
        if (::poll(&ready, 1, millisecondsUntil(end)) == 0)
            break;
    }
    return written;
}

bool Connection::fill(Clock::time_point end)
{
    if (start_ > 0) {
        buffer_.erase(0, start_);
        scanned_ -= std::min(scanned_, start_);
        start_ = 0;
    }
    pollfd ready{descriptor_, POLLIN, 0};
    if (::poll(&ready, 1, millisecondsUntil(end)) <= 0)
        return false;
    std::array<char, 65536> bytes{};
    const auto count = ::recv(descriptor_, bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (count <= 0) {
        ended_ = count == 0 || (errno != EAGAIN && errno != EINTR);
        return !ended_;
    }
    buffer_.append(bytes.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<std::string> Connection::readLine(Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    for (;;) {
        const auto found = buffer_.find("\r\n", std::max(start_, scanned_));
        if (found != std::string::npos) {
            if (found + 2 - start_ > lineLimit_) {
                overlong_ = true;
                return std::nullopt;
            }
            auto line = buffer_.substr(start_, found - start_);
            start_ = found + 2;
            scanned_ = start_;
            return line;
        }
        if (buffer_.size() - start_ >= lineLimit_) {
            overlong_ = true;
            return std::nullopt;
        }
        scanned_ = buffer_.size() > 0 ? buffer_.size() - 1 : 0;
        if (ended_ || !fill(end))
            return std::nullopt;
    }
}

std::optional<std::string> Connection::readBytes(std::size_t count, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (buffer_.size() - start_ < count) {
        if (ended_ || !fill(end))
            return std::nullopt;
    }
    auto bytes = buffer_.substr(start_, count);
    start_ += count;
    scanned_ = start_;
    return bytes;
}

std::string Connection::readSome(std::size_t most, Milliseconds limit)
{
    if (buffer_.size() == start_ && (ended_ || !fill(Clock::now() + limit)))
        return {};
    auto bytes = buffer_.substr(start_, most);
    start_ += bytes.size();
    scanned_ = start_;
    return bytes;
}

Listener::Listener(std::function<void(Connection &)> serve)
{
    const int listening = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    ::bind(listening, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    ::listen(listening, 512);
    ::getsockname(listening, reinterpret_cast<sockaddr *>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([listening, serve = std::move(serve)] {
        for (;;) {
            const int descriptor = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
                continue;
            const int enabled = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
            std::thread([descriptor, serve] {
                Connection connection(descriptor);
                serve(connection);
            }).detach();
        }
    }).detach();
}

std::uint16_t freePorts(int count)
{
    for (;;) {
        std::vector<int> sockets;
        std::uint16_t first = 0;
        bool all = true;
        for (int i = 0; i < count && all; ++i) {
            sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            auto address = loopback(i == 0 ? 0 : static_cast<std::uint16_t>(first + i));
            socklen_t size = sizeof(address);
            all = ::bind(sockets.back(), reinterpret_cast<const sockaddr *>(&address),
                         sizeof(address))
                  == 0;
            if (i == 0) {
                ::getsockname(sockets.back(), reinterpret_cast<sockaddr *>(&address), &size);
                first = ntohs(address.sin_port);
                all = first < 65000;
            }
        }
        for (const int socket : sockets)
            ::close(socket);
        if (all)
            return first;
    }
}

std::optional<HttpRequest> readRequest(Connection &connection)
{
    auto line = connection.readLine(idleLimit);
    if (!line)
        return std::nullopt;
    HttpRequest request;
    request.method = take(*line);
    auto target = take(*line);
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    for (auto rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
         !rest.empty();) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        request.query[pair.substr(0, equals)] = decodeQuery(pair.substr(equals + 1));
        rest.erase(0, end == std::string::npos ? rest.size() : end + 1);
    }
    std::size_t length = 0;
    for (;;) {
        const auto header = connection.readLine(idleLimit);
        if (!header)
            return std::nullopt;
        if (header->empty())
            break;
        const auto colon = header->find(':');
        auto name = header->substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        auto value = header->substr(std::min(colon + 1, header->size()));
        value.erase(0, value.find_first_not_of(' '));
        if (name == "content-length")
            length = std::stoul(value);
        request.headers[name] = value;
    }
    if (length > 0) {
        auto body = connection.readBytes(length, idleLimit);
        if (!body)
            return std::nullopt;
        request.body = std::move(*body);
    }
    return request;
}

bool respond(Connection &connection, int status, const std::string &body,
             const std::string &extraHeaders)
{
    return connection.write("HTTP/1.1 " + std::to_string(status)
                            + " X\r\nContent-Type: application/json\r\n" + extraHeaders
                            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

int getStatus(std::uint16_t port, const std::string &path, Milliseconds limit)
{
    const auto connection = Connection::open(port);
    if (!connection || !connection->write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"))
        return 0;
    auto line = connection->readLine(limit);
    if (!line)
        return 0;
    take(*line);
    return std::atoi(take(*line).c_str());
}

Store::Store(Record &record)
    : record_(record)
    , listener_([this](Connection &connection) { serve(connection); })
{
}

std::int64_t Store::put(const std::string &key, const std::string &value)
{
    const std::scoped_lock lock(mutex_);
    write(key, toBase64(value), 0);
    record_.line("store: " + key + " written at revision " + std::to_string(content_.revision));
    return content_.revision;
}

void Store::erase(const std::string &key)
{
    const std::scoped_lock lock(mutex_);
    remove(key);
}

std::int64_t Store::revision()
{
    const std::scoped_lock lock(mutex_);
    return content_.revision;
}

void Store::takeCopy()
{
    const std::scoped_lock lock(mutex_);
    copy_ = content_;
    record_.line("store: a copy is taken at revision " + std::to_string(content_.revision));
}

void Store::goAway()
{
    const std::scoped_lock lock(mutex_);
    away_ = true;
    record_.line("store: away at revision " + std::to_string(content_.revision));
}

void Store::comeBack(bool fromCopy)
{
    const std::scoped_lock lock(mutex_);
    if (fromCopy) {
        for (const auto &change : content_.history) {
            if (change.item.revision > copy_.revision)
                lost_.push_back(change);
        }
        content_ = copy_;
        ++era_;
    }
    // The time away doesn't count for leases.
    for (auto &[number, lease] : content_.leases)
        lease.end = Clock::now() + lease.duration;
    away_ = false;
    ++visit_;
    record_.line("store: back at revision " + std::to_string(content_.revision) + ", era "
                 + std::to_string(era_));
    changed_.notify_all();
}

void Store::writeAgain(const std::string &prefix)
{
    const std::scoped_lock lock(mutex_);
    std::map<std::string, std::size_t> last;
    for (std::size_t i = 0; i < lost_.size(); ++i)
        last[lost_[i].key] = i;
    for (std::size_t i = 0; i < lost_.size(); ++i) {
        const auto &change = lost_[i];
        if (!change.key.starts_with(prefix) || last.at(change.key) != i || change.deleted)
            continue;
        write(change.key, change.item.value, 0);
        record_.line("store: " + change.key + " written again at revision "
                     + std::to_string(content_.revision));
    }
}

void Store::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    auto &item = content_.items[key];
    item.value = value;
    item.lease = lease;
    item.revision = ++content_.revision;
    if (item.created == 0)
        item.created = content_.revision;
    content_.history.push_back({key, item, false});
    changed_.notify_all();
}

void Store::remove(const std::string &key)
{
    if (content_.items.erase(key) == 0)
        return;
    Change change{key, {}, true};
    change.item.revision = ++content_.revision;
    content_.history.push_back(change);
    changed_.notify_all();
}

void Store::endLeases()
{
    const auto now = Clock::now();
    std::erase_if(content_.leases, [&](const auto &entry) {
        if (entry.second.end > now)
            return false;
        std::vector<std::string> keys;
        for (const auto &[key, item] : content_.items) {
            if (item.lease == entry.first)
                keys.push_back(key);
        }
        for (const auto &key : keys)
            remove(key);
        return true;
    });
}

bool Store::send(Connection &connection, int status, const std::string &body)
{
    return respond(connection, status, body, "Store-Era: " + std::to_string(era_) + "\r\n");
}

void Store::serve(Connection &connection)
{
    std::uint64_t visit = 0;
    {
        const std::scoped_lock lock(mutex_);
        visit = away_ ? 0 : visit_;
    }
    while (const auto request = readRequest(connection)) {
        if (!answer(connection, *request, visit))
            return;
    }
}

/// Calls on a connection that has gone silent get no answer and have no effect.
bool Store::answer(Connection &connection, const HttpRequest &request, std::uint64_t visit)
{
    if (request.path == "/shallotwalk/kv-watch")
        return watch(connection, request, visit);
    std::unique_lock lock(mutex_);
    if (!reachable(visit))
        return true;
    endLeases();
    const auto number = [&] {
        return std::stoll(request.path.substr(request.path.rfind('/') + 1));
    };
    const auto item = [](const std::string &key, const Item &value) {
        return json::object{{"key", key},
                            {"value", value.value},
                            {"revision", value.revision},
                            {"create_rev", value.created},
                            {"lease", value.lease}};
    };
    if (request.path == "/shallotwalk/kv-range") {
        json::array items;
        for (const auto &[key, value] : content_.items) {
            if (key.starts_with(request.query.at("prefix")))
                items.push_back(item(key, value));
        }
        return send(connection, 200,
                    json::serialize(json::object{{"items", std::move(items)},
                                                 {"has_more", false},
                                                 {"store_revision", content_.revision}}));
    }
    if (request.path == "/shallotwalk/kv-key") {
        const auto found = content_.items.find(request.query.at("key"));
        if (found == content_.items.end())
            return send(connection, 404, "{}");
        auto body = item(found->first, found->second);
        body["store_revision"] = content_.revision;
        return send(connection, 200, json::serialize(body));
    }
    if (request.path == "/shallotwalk/kv-txn") {
        const auto [status, body] = transaction(request.body);
        return send(connection, status, body);
    }
    if (request.path == "/shallotwalk/kv-lease") {
        const auto duration =
            Milliseconds(json::parse(request.body).at("ttl_ms").to_number<std::int64_t>());
        content_.leases[++lastLease_] = {duration, Clock::now() + duration};
        return send(
            connection, 200,
            json::serialize(json::object{{"lease", lastLease_}, {"ttl_ms", duration.count()}}));
    }
    if (request.path.starts_with("/shallotwalk/kv-keep/")) {
        const auto found = content_.leases.find(number());
        if (found == content_.leases.end())
            return send(connection, 404, "{}");
        found->second.end = Clock::now() + found->second.duration;
        return send(connection, 200, "{}");
    }
    if (request.path.starts_with("/shallotwalk/kv-lease-end/")) {
        if (const auto found = content_.leases.find(number()); found != content_.leases.end())
            found->second.end = Clock::now();
        endLeases();
        return send(connection, 200, "{}");
    }
    return send(connection, 404, "{}");
}

bool Store::watch(Connection &connection, const HttpRequest &request, std::uint64_t visit)
{
    const auto after = std::stoll(request.query.at("after"));
    const auto end = Clock::now() + Milliseconds(std::stoll(request.query.at("wait_ms")));
    std::unique_lock lock(mutex_);
    if (!reachable(visit))
        return true;
    if (after > content_.revision)
        return send(connection, 410, "{}");
    while (content_.revision <= after && Clock::now() < end) {
        changed_.wait_for(lock, Milliseconds(50));
        if (!reachable(visit))
            return true;
        endLeases();
    }
    json::array events;
    for (const auto &change : content_.history) {
        if (change.item.revision <= after || !change.key.starts_with(request.query.at("prefix")))
            continue;
        json::object event{{"key", change.key}, {"revision", change.item.revision}};
        if (change.deleted)
            event["deleted"] = true;
        else
            event["value"] = change.item.value;
        events.push_back(std::move(event));
    }
    return send(connection, 200,
                json::serialize(json::object{{"events", std::move(events)},
                                             {"store_revision", content_.revision}}));
}

std::pair<int, std::string> Store::transaction(const std::string &text)
{
    const auto body = json::parse(text).as_object();
    json::array present;
    bool holds = true;
    for (const auto &row : body.at("expected_rev").as_array()) {
        const std::string key(row.at("key").as_string());
        const auto found = content_.items.find(key);
        const bool known = found != content_.items.end();
        const auto revision = known ? found->second.revision : 0;
        holds = holds && revision == row.at("revision").to_number<std::int64_t>();
        present.push_back(json::object{{"key", key},
                                       {"value", known ? found->second.value : std::string()},
                                       {"revision", revision}});
    }
    if (!holds)
        return {412, json::serialize(json::object{{"items", std::move(present)}})};
    for (const auto &item : body.at("writes").as_array()) {
        const auto *lease = item.as_object().if_contains("lease");
        const auto number = lease == nullptr ? 0 : lease->to_number<std::int64_t>();
        if (number != 0 && !content_.leases.contains(number))
            return {404, "{}"};
        const std::string key(item.at("key").as_string());
        write(key, std::string(item.at("value").as_string()), number);
        record_.line("store: " + key + " written by the system at revision "
                     + std::to_string(content_.revision));
    }
    for (const auto &key : body.at("deletes").as_array())
        remove(std::string(key.as_string()));
    return {200, json::serialize(json::object{{"revision", content_.revision}})};
}

Databases::Databases(Record &record, Store &store, std::string service, int count)
    : record_(record)
    , store_(store)
    , service_(std::move(service))
{
    for (int i = 0; i < count; ++i)
        addMember();
    members_.front()->primary = true;
    registerAll();
}

void Databases::addMember()
{
    auto member = std::make_unique<Member>();
    member->id = "i-" + service_ + "-" + std::to_string(members_.size() + 1);
    member->listener = std::make_unique<Listener>(
        [this, id = member->id](Connection &connection) { serve(id, connection); });
    members_.push_back(std::move(member));
}

void Databases::add()
{
    {
        const std::scoped_lock lock(mutex_);
        addMember();
    }
    registerAll();
}

void Databases::setState(int number, const std::string &state)
{
    {
        const std::scoped_lock lock(mutex_);
        members_.at(static_cast<std::size_t>(number))->state = state;
    }
    registerAll();
}

std::string Databases::entry(const Member &member) const
{
    return json::serialize(
        json::object{{"service", service_},
                     {"address", "127.0.0.1:" + std::to_string(member.listener->port())},
                     {"zone", "nord-a"},
                     {"version", "v1"},
                     {"slots", 2},
                     {"state", member.state},
                     {"cold_left_ms", 0},
                     {"db_role", member.primary ? "primary" : "replica"},
                     {"born", 1700000000000},
                     {"seq_no", 1}});
}

void Databases::registerAll()
{
    const std::scoped_lock lock(mutex_);
    for (const auto &member : members_) {
        const auto text = entry(*member);
        if (member->registered == text)
            continue;
        member->registered = text;
        store_.put("servers/" + member->id, text);
    }
}

Databases::Member *Databases::find(const std::string &id)
{
    for (const auto &member : members_) {
        if (member->id == id)
            return member.get();
    }
    return nullptr;
}

std::vector<Databases::Run> Databases::runs()
{
    const std::scoped_lock lock(mutex_);
    return runs_;
}

void Databases::setReport(Milliseconds work, int rows)
{
    const std::scoped_lock lock(mutex_);
    reportWork_ = work;
    reportRows_ = rows;
}

bool Databases::promote(const std::string &id, std::int64_t token)
{
    {
        const std::scoped_lock lock(mutex_);
        auto *chosen = find(id);
        if (chosen == nullptr || token < highestToken_)
            return false;
        highestToken_ = token;
        if (chosen->primary)
            return true;
        for (const auto &member : members_)
            member->primary = false;
        chosen->primary = true;
        ++term_;
    }
    registerAll();
    return true;
}

void Databases::serve(const std::string &id, Connection &connection)
{
    connection.limitLines(messageLimit);
    bool open = false;
    bool plain = false;
    bool failed = false;
    std::vector<std::pair<std::string, std::string>> writes;
    std::map<std::string, std::pair<std::string, std::string>> prepared;
    for (bool started = false;;) {
        auto received = connection.readLine(idleLimit);
        if (connection.overlong()) {
            record_.line("database " + id + ": a message over 1 MiB arrived; refused and closed");
            connection.write("ERR TOOBIG\r\n");
            return;
        }
        if (!received)
            return;
        auto line = std::move(*received);
        const auto word = take(line);
        std::unique_lock lock(mutex_);
        auto &member = *find(id);
        const auto ready = [&] {
            const char state = failed ? 'E' : open ? 'T' : 'I';
            return std::string("READY ") + state + ' ' + std::to_string(term_) + '.'
                   + std::to_string(log_.size()) + "\r\n";
        };
        if (word == "START") {
            const auto service = take(line);
            take(line);
            if (service != service_ || (!line.empty() && line != id)) {
                connection.write("ERR MISROUTED " + id + "\r\n");
                return;
            }
            started = true;
            connection.write(ready());
            continue;
        }
        if (word != "QUERY" || !started)
            return;
        const auto statement = take(line);
        auto verb = take(line);
        if (verb == "AFTER") {
            take(line); // Replication is instant.
            verb = take(line);
        }
        const auto signature = "DONE s." + id + "." + statement + "\r\n";
        const auto error = [&](const std::string &code) {
            failed = open;
            writes.clear();
            return "ERR " + code + "\r\n";
        };
        const auto ran = [&](const std::string &text) {
            runs_.push_back({statement, text.substr(0, 60), id});
            record_.line("run: " + statement + " " + text.substr(0, 60) + " at " + id);
        };
        std::string text;
        if (verb == "ROLLBACK") {
            open = failed = false;
            writes.clear();
            text = "DONE -\r\n";
        } else if (failed) {
            text = "ERR MALFORMED\r\n";
        } else if (verb == "BEGIN") {
            const bool readOnly = line == "READ";
            if (!readOnly && !member.primary) {
                text = error("READONLY " + id);
            } else {
                open = true;
                plain = !readOnly;
                text = "DONE -\r\n";
            }
        } else if (verb == "SET") {
            text = "DONE -\r\n";
        } else if (verb == "RESET") {
            prepared.clear();
            text = "DONE -\r\n";
        } else if (verb == "PREPARE") {
            const auto name = take(line);
            const auto access = take(line);
            prepared[name] = {access, line};
            text = "DONE -\r\n";
        } else if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE") {
            text = std::string("ROW ") + (member.primary ? "primary " : "replica ")
                   + std::to_string(term_) + ' ' + std::to_string(term_) + '.'
                   + std::to_string(log_.size()) + " 0 0 0 1\r\nDONE -\r\n";
        } else if (verb == "COMMIT") {
            ran("COMMIT");
            log_.insert(log_.end(), writes.begin(), writes.end());
            writes.clear();
            open = false;
            text = signature;
        } else {
            if (verb == "EXEC") {
                const auto found = prepared.find(take(line));
                verb = found == prepared.end() ? "" : found->second.first;
            }
            const bool needsLead = verb == "WRITE" || (open && plain);
            if (verb.empty()) {
                text = error("NOSTMT");
            } else if (needsLead && !member.primary) {
                text = error("READONLY " + id);
            } else if (verb == "READ") {
                ran("READ " + line);
                if (line == "report") {
                    lock.unlock();
                    std::this_thread::sleep_for(reportWork_);
                    lock.lock();
                    for (int i = 0; i < reportRows_; ++i)
                        text += "ROW " + std::string(1'000'000, 'r') + "\r\n";
                }
                std::string data = "none";
                for (const auto &[item, value] : log_) {
                    if (item == line)
                        data = value;
                }
                text += "ROW " + data + "\r\n" + signature;
            } else {
                ran("WRITE " + line);
                const auto item = take(line);
                (open ? writes : log_).emplace_back(item, line);
                text = signature;
            }
        }
        text += ready();
        lock.unlock();
        if (!connection.write(text))
            return;
    }
}

std::string Answer::text() const
{
    if (!complete)
        return error.empty() ? "no complete answer" : "ERR " + error + ", closed";
    return (error.empty() ? "DONE " + signature : "ERR " + error) + ", state " + state;
}

Answer Client::start(const std::string &database, Milliseconds limit)
{
    return ask("START " + database + " u1", limit);
}

Answer Client::query(const std::string &id, const std::string &text, Milliseconds limit)
{
    return ask("QUERY " + id + " " + text, limit);
}

Answer Client::ask(const std::string &message, Milliseconds limit)
{
    record_.line("sent by " + name_ + ": " + message);
    auto answer =
        connection_ && connection_->write(message + "\r\n") ? readAnswer(limit) : Answer();
    record_.line("answered to " + name_ + ": " + answer.text());
    return answer;
}

Answer Client::readAnswer(Milliseconds limit)
{
    Answer answer;
    const auto end = Clock::now() + limit;
    while (auto line = connection_->readLine(Milliseconds(millisecondsUntil(end)))) {
        const auto word = take(*line);
        if (word == "ROW") {
            answer.rows.push_back(*line);
        } else if (word == "DONE") {
            answer.signature = *line;
        } else if (word == "ERR") {
            answer.error = take(*line);
        } else if (word == "READY") {
            answer.state = take(*line);
            answer.complete = true;
            return answer;
        }
    }
    return answer;
}

} // namespace stand
