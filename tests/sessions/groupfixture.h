#pragma once

#include "sessions/fakeport.h"

namespace shallotwalk {

using namespace std::chrono_literals;

/// A group of one primary "p" and two replicas "r1" and "r2", driven by hand.
class GroupFixture
{
public:
    GroupFixture();

    ServerRegistration registration(const std::string &id, bool primary = false) const;

    /// Opens the connections that were asked for since the last call, with the log at \a position.
    void connectAll(Position position = {1, 100});

    /// Ends all commands sent to \a server since the last call as a healthy server does: begins and
    /// rollbacks succeed, statements give one row and a signature, reports say \a primary.
    void serve(const std::string &server, Position position = {1, 100}, bool primary = false);

    /// Takes the commands sent to \a server since the last call.
    std::vector<FakePort::Sent> take(const std::string &server);

    /// Names of the commands sent to \a server and not taken yet.
    std::vector<CommandKind> kinds(const std::string &server) const;

    void reply(ServerConnectionKey key, ServerReply reply);
    static ServerReply done(TransactionState state = TransactionState::None,
                            Position position = {1, 100});
    static ServerReply signedReply(TransactionState state = TransactionState::None,
                                   Position position = {1, 100});
    static ServerReply error(AnswerCode code, TransactionState state = TransactionState::None);
    static ServerReply report(bool primary, Term term, Position received, Term pausedUntilTerm = 0);

    /// Waits in steps of 10 ms, with a tick at each.
    void wait(Duration duration);

    /// Waits in the same steps; all servers answer at each, "p" as the primary.
    void serveAll(Duration duration, Position position = {1, 100});

    GroupRequest request(RequestNumber number, StatementKind kind, Duration maxStaleness = {});

    /// Asks the idle primary, so that its position becomes a watermark.
    void sampleWatermark(Position position = {1, 100});

    FakePort port;
    GroupScheduler scheduler;
    TimePoint now{std::chrono::seconds(1000)};
    std::map<std::string, Term> paused; ///< Servers, with the term they are paused for; 0: resumed.

private:
    std::size_t opened_ = 0;
    std::map<ServerConnectionKey, TransactionState> states_; ///< Of the connections at serve().
};

} // namespace shallotwalk
