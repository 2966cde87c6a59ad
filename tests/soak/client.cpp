#include "soak/client.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <thread>

namespace shallotwalk::soak {

namespace {

constexpr auto answerLimit = std::chrono::seconds(5); ///< Over the routes' timeout of 3 s.
constexpr auto pace = std::chrono::milliseconds(5);
constexpr auto reconnectPace = std::chrono::milliseconds(50);

bool promisesNothingKept(const std::string &error)
{
    constexpr std::array<std::string_view, 6> promises{"BUSY",     "ABORTED",   "LAGGING",
                                                       "READONLY", "MISROUTED", "TOOMANY"};
    const auto word = std::string_view(error).substr(0, error.find(' '));
    return std::find(promises.begin(), promises.end(), word) != promises.end();
}

} // namespace

Client::Client(std::size_t number, std::uint16_t port, std::string database, bool seesAll,
               std::size_t clients, History &history)
    : number_(number)
    , port_(port)
    , database_(std::move(database))
    , seesAll_(seesAll)
    , clients_(clients)
    , history_(history)
    , random_(static_cast<unsigned>(number))
{
}

void Client::run(const std::atomic<bool> &stop)
{
    while (!stop) {
        if (!session_ && !connect()) {
            std::this_thread::sleep_for(reconnectPace);
            continue;
        }
        switch (random_() % 8) {
        case 0:
        case 1:
            write();
            break;
        case 2:
            writeInTransaction();
            break;
        case 3:
            rollBack();
            break;
        default:
            read();
            break;
        }
        std::this_thread::sleep_for(pace);
    }
}

bool Client::connect()
{
    try {
        auto session = std::make_unique<test::LineClient>(port_);
        if (!session->start(database_).ok())
            return false;
        session_ = std::move(session);
    } catch (const std::runtime_error &) {
        return false; // The proxy is away; the driver knows why.
    }
    sessionCommit_ = 0;
    value_ = "client" + std::to_string(number_);
    query("SET owner " + value_);
    return session_ != nullptr;
}

void Client::disconnect()
{
    session_.reset();
}

Client::Answer Client::query(const std::string &text)
{
    if (!session_)
        return {};
    const bool setting = text.starts_with("SET");
    auto answer = session_->query(text, answerLimit);
    if (answer.state.empty() || (setting && !answer.ok()))
        disconnect();
    return answer;
}

std::string Client::nextWrite()
{
    ++last_;
    return "WRITE item" + std::to_string(number_) + ' ' + std::to_string(last_);
}

void Client::noteWrite(const std::string &id, const Answer &answer)
{
    if (answer.ok()) {
        history_.recordWrite(id, WriteOutcome::Acknowledged);
        sessionCommit_ = last_;
        history_.acknowledge(number_, last_);
    } else {
        history_.recordWrite(id, promisesNothingKept(answer.error) ? WriteOutcome::Refused
                                                                   : WriteOutcome::InDoubt);
    }
}

void Client::write()
{
    auto *session = session_.get();
    const auto text = nextWrite();
    auto answer = session->query(text, answerLimit);
    noteWrite(session->lastId(), answer);
    if (answer.state.empty())
        disconnect();
}

void Client::writeInTransaction()
{
    if (!query("BEGIN").ok() || !session_)
        return;
    auto written = session_->query(nextWrite(), answerLimit);
    const auto id = session_->lastId();
    if (!written.ok()) {
        // Nothing was committed, whatever the answer.
        history_.recordWrite(id, WriteOutcome::Refused);
        if (written.state.empty())
            disconnect();
        else
            query("ROLLBACK");
        return;
    }
    auto committed = session_->query("COMMIT", answerLimit);
    noteWrite(id, committed);
    if (committed.state.empty())
        disconnect();
}

void Client::rollBack()
{
    if (!query("BEGIN").ok() || !session_)
        return;
    session_->query(nextWrite(), answerLimit);
    history_.recordWrite(session_->lastId(), WriteOutcome::Refused);
    query("ROLLBACK");
}

void Client::read()
{
    const auto item = random_() % 2 == 0 ? number_ : random_() % clients_;
    const auto required = seesAll_          ? history_.acknowledged(item)
                          : item == number_ ? sessionCommit_
                                            : 0;
    const auto answer = query("READ item" + std::to_string(item));
    if (!answer.ok())
        return;
    if (answer.rows.size() != 1 || answer.done.empty()) {
        history_.recordViolation("an answer without its row or signature");
        return;
    }
    std::istringstream row(answer.rows.front());
    std::string data;
    std::string owner;
    row >> data >> owner;
    const auto value = data == "none" ? 0 : std::stoull(data);
    if (value < required) {
        history_.recordViolation(database_ + ": item" + std::to_string(item) + " was read as "
                                 + data + ", but " + std::to_string(required)
                                 + " was acknowledged");
    }
    if (owner != "owner=" + value_)
        history_.recordViolation("a statement ran with the session values \"" + owner
                                 + "\" of another client");
}

} // namespace shallotwalk::soak
