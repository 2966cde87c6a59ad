#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace stand {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Writes lines with the time since the start to the record file and to standard error.
/// Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();

    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
    Clock::time_point start_;
};

/// A connected socket with a deadline for each read.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor_(descriptor)
    {
    }
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Connects to a loopback port; null if that fails. \a receiveBuffer bounds what the kernel
    /// receives ahead.
    static std::unique_ptr<Connection> open(std::uint16_t port, int receiveBuffer = 0);

    bool write(std::string_view bytes);
    /// Writes as much as the peer takes within \a limit; returns the number of bytes.
    std::size_t writeSome(std::string_view bytes, Milliseconds limit);
    /// Reads up to and without CR LF. Empty if the connection ended or \a limit passed.
    std::optional<std::string> readLine(Milliseconds limit);
    std::optional<std::string> readBytes(std::size_t count, Milliseconds limit);
    /// Reads what has arrived, at most \a most bytes. Empty if the connection ended or \a limit
    /// passed.
    std::string readSome(std::size_t most, Milliseconds limit);
    /// Whether the peer has closed or reset the connection.
    bool ended() const { return ended_; }
    /// Reads lines of at most this many bytes; a longer one sets overlong().
    void limitLines(std::size_t bytes) { lineLimit_ = bytes; }
    bool overlong() const { return overlong_; }

private:
    bool fill(Clock::time_point end);

    int descriptor_;
    std::string buffer_;
    std::size_t start_ = 0;
    std::size_t scanned_ = 0;
    bool ended_ = false;
    bool overlong_ = false;
    std::size_t lineLimit_ = std::size_t{64} << 20;
};

/// Accepts connections on a loopback port and serves each on a thread of its own.
class Listener
{
public:
    explicit Listener(std::function<void(Connection &)> serve);

    std::uint16_t port() const { return port_; }

private:
    std::uint16_t port_ = 0;
};

/// Returns the first of \a count consecutive free ports.
std::uint16_t freePorts(int count);

struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

std::optional<HttpRequest> readRequest(Connection &connection);
bool respond(Connection &connection, int status, const std::string &body,
             const std::string &extraHeaders = {});

/// The status of a GET on a loopback port; 0 if there was no answer.
int getStatus(std::uint16_t port, const std::string &path, Milliseconds limit);

/// The platform's store. Thread-safe.
class Store
{
public:
    explicit Store(Record &record);

    std::uint16_t port() const { return listener_.port(); }

    /// Writes as the operator or a database does. Returns the revision.
    std::int64_t put(const std::string &key, const std::string &value);
    void erase(const std::string &key);
    std::int64_t revision();

    /// Keeps a copy of all that is stored.
    void takeCopy();
    /// Stops answering. Open connections stay silent for good.
    void goAway();
    /// Answers new connections again. With \a fromCopy the copy is what is stored.
    void comeBack(bool fromCopy);
    /// Writes the keys below \a prefix again that were written after the copy, in their order.
    void writeAgain(const std::string &prefix);

private:
    struct Item
    {
        std::string value; ///< In base64.
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
        Clock::time_point end;
    };
    struct Content
    {
        std::map<std::string, Item> items;
        std::vector<Change> history;
        std::map<std::int64_t, Lease> leases;
        std::int64_t revision = 100;
    };

    void serve(Connection &connection);
    bool answer(Connection &connection, const HttpRequest &request, std::uint64_t visit);
    bool send(Connection &connection, int status, const std::string &body);
    bool watch(Connection &connection, const HttpRequest &request, std::uint64_t visit);
    std::pair<int, std::string> transaction(const std::string &text);
    void write(const std::string &key, const std::string &value, std::int64_t lease);
    void remove(const std::string &key);
    void endLeases();
    bool reachable(std::uint64_t visit) const { return !away_ && visit == visit_; }

    Record &record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    Content content_;
    Content copy_;
    std::vector<Change> lost_; ///< What was written after the copy.
    std::int64_t lastLease_ = 1000;
    std::int64_t era_ = 1;
    bool away_ = false;
    std::uint64_t visit_ = 1; ///< Connections of an earlier visit are silent.
    Listener listener_;
};

/// The databases of one service, with instant replication. Thread-safe.
class Databases
{
public:
    struct Run
    {
        std::string id;
        std::string text;
        std::string database;
    };

    Databases(Record &record, Store &store, std::string service, int count);

    const std::string &service() const { return service_; }
    /// Writes all entries that are not stored as they should be.
    void registerAll();
    void setState(int number, const std::string &state);
    /// Starts another replica.
    void add();
    /// Statements of clients that have run.
    std::vector<Run> runs();
    bool promote(const std::string &id, std::int64_t token);
    /// A read of the item "report" takes \a work and has \a rows rows of 1,000,000 bytes.
    void setReport(Milliseconds work, int rows);

private:
    struct Member
    {
        std::string id;
        bool primary = false;
        std::string state = "ready";
        std::unique_ptr<Listener> listener;
        std::string registered; ///< The entry as written last.
    };

    void addMember();
    std::string entry(const Member &member) const;
    void serve(const std::string &id, Connection &connection);
    Member *find(const std::string &id);

    Record &record_;
    Store &store_;
    std::string service_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<Member>> members_;
    std::vector<std::pair<std::string, std::string>> log_; ///< Committed items and data.
    std::vector<Run> runs_;
    std::int64_t term_ = 1;
    std::int64_t highestToken_ = 0;
    Milliseconds reportWork_{0};
    int reportRows_ = 0;
};

struct Answer
{
    bool complete = false;
    std::string error; ///< Code of an ERR.
    std::string signature;
    std::string state;
    std::vector<std::string> rows;

    bool ok() const { return complete && error.empty(); }
    std::string text() const;
};

/// A client's session.
class Client
{
public:
    Client(Record &record, std::string name, std::uint16_t port, int receiveBuffer = 0)
        : record_(record)
        , name_(std::move(name))
        , connection_(Connection::open(port, receiveBuffer))
    {
    }

    Answer start(const std::string &database, Milliseconds limit = Milliseconds(2000));
    Answer query(const std::string &id, const std::string &text,
                 Milliseconds limit = Milliseconds(4000));
    Answer readAnswer(Milliseconds limit);
    Connection *connection() { return connection_.get(); }

private:
    Answer ask(const std::string &message, Milliseconds limit);

    Record &record_;
    std::string name_;
    std::unique_ptr<Connection> connection_;
};

} // namespace stand
