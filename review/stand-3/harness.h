#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit codes of a case.
enum Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// Writes what was sent, answered and run to a file, with milliseconds since the start.
/// Thread-safe.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    /// Long texts are cut.
    void write(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
    Clock::time_point start_ = Clock::now();
};

/// A TCP listener on 127.0.0.1 that serves each connection in a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(int)>;

    /// \a serve must not close the descriptor.
    explicit Listener(Serve serve);

    std::uint16_t port() const { return port_; }

private:
    std::uint16_t port_ = 0;
};

/// Reads from a descriptor. Not thread-safe.
class Reader
{
public:
    explicit Reader(int descriptor)
        : descriptor_(descriptor)
    {
    }

    /// Reads up to and without \a end. Empty at the end of the connection or after \a wait.
    std::optional<std::string> until(const std::string &end, Milliseconds wait);
    std::optional<std::string> bytes(std::size_t size, Milliseconds wait);

private:
    bool fill(Clock::time_point deadline);

    int descriptor_;
    std::string buffer_;
};

/// Sends all of \a bytes; false if the connection has ended.
bool sendAll(int descriptor, const std::string &bytes);
int connectTo(std::uint16_t port, int receiveBuffer = 0);
std::string takeWord(std::string &text);

/// The platform's store with its leases and watches, and POST /promote.
class Store
{
public:
    Store();

    std::uint16_t port() const { return listener_->port(); }
    void put(const std::string &key, const std::string &value, std::int64_t lease = 0);

    /// Answers POST /promote for a database, by default with 409.
    std::function<bool(const std::string &id, std::int64_t token)> promote;

private:
    struct Item
    {
        std::string value;
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

    void serve(int descriptor);
    std::pair<int, std::string> answer(const std::string &path,
                                       std::map<std::string, std::string> &query,
                                       const std::string &body, const std::string &token);
    std::string watch(std::map<std::string, std::string> &query,
                      std::unique_lock<std::mutex> &lock);
    std::pair<int, std::string> transaction(const std::string &body);
    void putEncoded(const std::string &key, const std::string &value, std::int64_t lease);
    void erase(const std::string &key);
    void endLeases();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, Item> items_;
    std::vector<Change> history_;
    std::map<std::int64_t, Lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t lastLease_ = 100;
    std::unique_ptr<Listener> listener_;
};

/// The databases of one service: one primary, whose log the replicas receive at once.
class Service
{
public:
    struct Options
    {
        std::string name = "bookings";
        std::size_t slots = 2;
        std::size_t queue = 16; ///< Statements that wait for a slot; more get BUSY.
        Milliseconds work{10};
        std::size_t readRows = 1; ///< Rows of each read.
        std::size_t rowBytes = 20;
    };

    Service(Store &store, Record &record, const Options &options, std::size_t databases = 3);

    /// Whether the answer of the commit or single write \a id is lost. The connection stays.
    std::function<bool(const std::string &id)> losesAnswer;

    /// How often the write \a id took effect.
    std::size_t effects(const std::string &id);
    /// Whether the read \a id was run to its end.
    bool wasRead(const std::string &id);
    /// Whether a database has begun to run the statement \a id.
    bool wasStarted(const std::string &id);
    const std::string &name() const { return options_.name; }

private:
    struct Database
    {
        std::string id;
        bool primary = false;
        std::mutex mutex;
        std::condition_variable freed;
        std::size_t busy = 0;
        std::size_t waiting = 0;
        std::atomic<std::size_t> connections{0};
        std::unique_ptr<Listener> listener;
    };
    struct Session
    {
        char state = 'I';
        std::vector<std::string> writes;
        std::map<std::string, std::string> prepared; ///< Name to READ or WRITE.
    };

    void serve(Database &database, int descriptor);
    /// Empty if the answer is lost.
    std::string answer(Database &database, Session &session, const std::string &id,
                       std::string text);
    std::string run(Database &database, Session &session, const std::string &id,
                    const std::string &verb, const std::string &rest, bool &lost);
    std::string commit(Session &session, const std::string &id, bool &lost);
    /// Occupies a slot for the time of the work. False if the queue is full.
    bool work(Database &database, const std::string &id);
    std::string position();

    Record &record_;
    Options options_;
    std::mutex mutex_;
    std::vector<std::string> log_; ///< Ids of the writes that took effect.
    std::vector<std::string> reads_;
    std::vector<std::string> started_; ///< Ids of the statements that got a slot.
    std::vector<std::unique_ptr<Database>> databases_;
};

/// A client's session. Not thread-safe.
class Client
{
public:
    struct Answer
    {
        bool complete = false; ///< Whether READY has come.
        std::string error;     ///< Code and text after ERR.
        std::string signature;
        std::size_t rowBytes = 0;
        std::size_t rows = 0;
    };

    Client(std::uint16_t port, Record &record, std::string name, int receiveBuffer = 0);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    Answer start(const std::string &database);
    Answer query(const std::string &id, const std::string &text,
                 Milliseconds wait = Milliseconds(10000));
    void send(const std::string &id, const std::string &text);
    Answer receive(const std::string &id, Milliseconds wait);
    int descriptor() const { return descriptor_; }

private:
    int descriptor_;
    Reader reader_;
    Record &record_;
    std::string name_;
};

/// One proxy, started with the command of deploy/system.toml.
class Proxy
{
public:
    /// \a memoryMb is limits.memory_mb of the settings.
    Proxy(const std::string &name, const Store &store, int memoryMb = 390);
    ~Proxy();
    Proxy(const Proxy &) = delete;
    Proxy &operator=(const Proxy &) = delete;

    std::uint16_t port() const { return front_; }
    pid_t pid() const { return pid_; }
    bool waitUntilReady(Milliseconds wait);
    bool ready() const;
    void signal(int number) const;
    /// Whether the process has ended within \a wait.
    bool ended(Milliseconds wait);
    /// Resident memory in bytes; 0 once the process has ended.
    std::size_t residentBytes() const;

private:
    std::string directory_;
    std::uint16_t front_ = 0;
    std::uint16_t ready_ = 0;
    pid_t pid_ = -1;
};

/// Writes version 1 of the configuration: the routes "rounds" (primary) and "slots"
/// (bounded_staleness) to \a service.
void configure(Store &store, const Service &service, int timeoutMs, int goalMs, int maxConnections);

} // namespace review
