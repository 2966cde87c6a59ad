#pragma once

#include "gateway/lineclient.h"
#include "soak/history.h"

#include <atomic>
#include <memory>
#include <random>
#include <string>

namespace shallotwalk::soak {

/// A client that keeps its session while it can, writes increasing values to an item of its own,
/// reads its own and others' items, and checks each answer. Runs on a thread of its own.
class Client
{
public:
    /// \a number is also that of its item. \a database is a route whose reads see every
    /// acknowledged commit if \a seesAll, else those of its own session.
    Client(std::size_t number, std::uint16_t port, std::string database, bool seesAll,
           std::size_t clients, History &history);

    /// Works until \a stop.
    void run(const std::atomic<bool> &stop);

private:
    using Answer = test::LineClient::Answer;

    bool connect();
    void disconnect();
    void write();
    void writeInTransaction();
    void rollBack();
    void read();
    /// Sends a statement; a broken session is closed.
    Answer query(const std::string &text);
    void noteWrite(const std::string &id, const Answer &answer);
    std::string nextWrite();

    std::size_t number_;
    std::uint16_t port_;
    std::string database_;
    bool seesAll_;
    std::size_t clients_;
    History &history_;
    std::mt19937 random_;
    std::unique_ptr<test::LineClient> session_;
    std::string value_;               ///< Of the session, as acknowledged.
    std::uint64_t last_ = 0;          ///< Value of the last write.
    std::uint64_t sessionCommit_ = 0; ///< Highest value acknowledged in this session.
};

} // namespace shallotwalk::soak
