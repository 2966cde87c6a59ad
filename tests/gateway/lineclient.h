#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk::test {

/// A client of the platform's line protocol with a blocking socket. Not thread-safe.
class LineClient
{
public:
    /// The lines of one answer up to READY or the end of the connection.
    struct Answer
    {
        std::vector<std::string> rows;
        std::string done;  ///< Signature.
        std::string error; ///< Code and text; empty after success.
        std::string state; ///< I, T or E; empty if the connection has ended.

        bool ok() const { return error.empty() && !state.empty(); }
    };

    /// Connects. Throws std::runtime_error if that fails.
    explicit LineClient(std::uint16_t port);
    ~LineClient();
    LineClient(const LineClient &) = delete;
    LineClient &operator=(const LineClient &) = delete;

    Answer start(std::string_view database);

    /// Sends a statement with a new id and waits for its answer.
    Answer query(std::string_view text, std::chrono::milliseconds wait = std::chrono::seconds(5));

    void send(std::string_view bytes);
    Answer receive(std::chrono::milliseconds wait = std::chrono::seconds(5));

    /// True if the proxy closes the connection within \a wait without sending anything.
    bool closedWithin(std::chrono::milliseconds wait);

    /// Id of the last statement.
    const std::string &lastId() const { return lastId_; }

private:
    bool readLine(std::string &line, std::chrono::steady_clock::time_point deadline);

    int socket_ = -1;
    std::string buffer_;
    std::string lastId_;
};

} // namespace shallotwalk::test
