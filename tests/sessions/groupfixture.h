#pragma once

#include "sessions/fakeport.h"

namespace shallotwalk {

using namespace std::chrono_literals;

/// A scheduler for a group with the primary "p" and the replicas "r1" and "r2". Tests supply the
/// servers' replies and the time.
class GroupFixture
{
public:
    GroupFixture();

    ServerRegistration registration(const std::string &id, bool primary = false) const;

    /// Reports the connections requested since the last call as open, with the server's log at
    /// \a position.
    void connectAll(Position position = {1, 100});

    /// Replies to all commands sent to \a server and not taken yet as a healthy server does: begins
    /// and rollbacks succeed, statements return one row and a signature, reports state \a primary.
    void serve(const std::string &server, Position position = {1, 100}, bool primary = false);

    /// Removes and returns the commands sent to \a server since the last call.
    std::vector<FakePort::Sent> takeSent(const std::string &server);

    /// Returns the kinds of the commands sent to \a server and not taken yet.
    std::vector<CommandKind> kinds(const std::string &server) const;

    void reply(ServerConnectionKey key, ServerReply reply);
    static ServerReply successReply(TransactionState state = TransactionState::None,
                                    Position position = {1, 100});
    static ServerReply signedReply(TransactionState state = TransactionState::None,
                                   Position position = {1, 100});
    static ServerReply error(AnswerCode code, TransactionState state = TransactionState::None);
    static ServerReply report(bool primary, Term term, Position received, Term pausedUntilTerm = 0);

    /// Advances the time by \a duration in steps of 10 ms, with a tick after each.
    void wait(Duration duration);

    /// Like wait(), but all servers reply after each step, "p" as the primary.
    void waitAndServe(Duration duration, Position position = {1, 100});

    /// Returns a request outside of any transaction, in a session with the same number.
    GroupRequest request(RequestNumber number, StatementKind kind, Duration maxStaleness = {});

    /// Waits until the idle primary is probed and replies, so that \a position becomes a watermark.
    void sampleWatermark(Position position = {1, 100});

    FakePort port;
    GroupScheduler scheduler;
    TimePoint now{std::chrono::seconds(1000)};
    std::map<std::string, Term> paused; ///< Term for which each server is paused; 0: resumed.

private:
    std::size_t opened_ = 0;
    std::map<ServerConnectionKey, TransactionState> states_; ///< Set by serve().
};

} // namespace shallotwalk
