#include "databaseserver.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <thread>

#include <sys/socket.h>

namespace standin {

namespace asio = boost::asio;

namespace {

constexpr auto silencePace = std::chrono::milliseconds(20);

std::string take(std::string &text)
{
    const auto end = text.find(' ');
    auto word = text.substr(0, end);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
    return word;
}

LogPlace parsePlace(const std::string &text)
{
    const auto dot = text.find('.');
    return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

std::string toText(LogPlace place)
{
    return std::to_string(place.term) + '.' + std::to_string(place.number);
}

} // namespace

DatabaseServer::DatabaseServer(DatabaseGroup &group, std::string service, std::string id)
    : group_(group)
    , service_(std::move(service))
    , id_(std::move(id))
    , acceptor_(context_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
}

void DatabaseServer::start()
{
    std::thread([this] {
        for (;;)
            accept();
    }).detach();
}

void DatabaseServer::accept()
{
    boost::system::error_code error;
    Socket socket(context_);
    acceptor_.accept(socket, error);
    if (error)
        return;
    if (group_.with(id_, [](const auto &member) { return member.crashed; })) {
        socket.close(error);
        return;
    }
    std::thread([this, socket = std::move(socket)]() mutable { serve(socket); }).detach();
}

void DatabaseServer::closeConnections()
{
    const std::scoped_lock lock(mutex_);
    for (const int socket : sockets_)
        ::shutdown(socket, SHUT_RDWR);
}

void DatabaseServer::serve(Socket &socket)
{
    const int handle = socket.native_handle();
    {
        const std::scoped_lock lock(mutex_);
        sockets_.insert(handle);
    }
    boost::system::error_code error;
    socket.set_option(asio::ip::tcp::no_delay(true), error);
    Session session;
    std::string buffer;
    for (bool open = true; open;) {
        const auto size = asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n", error);
        if (error)
            break;
        auto line = buffer.substr(0, size - 2);
        buffer.erase(0, size);
        while (group_.with(id_, [](const auto &member) { return member.silent; }))
            std::this_thread::sleep_for(silencePace);
        open = answer(socket, session, std::move(line));
    }
    const std::scoped_lock lock(mutex_);
    sockets_.erase(handle);
    socket.close(error);
}

bool DatabaseServer::answer(Socket &socket, Session &session, std::string line)
{
    boost::system::error_code error;
    const auto word = take(line);
    if (word == "START") {
        const auto service = take(line);
        group_.noteTenant(take(line));
        const bool right = service == service_ && (line.empty() || line == id_);
        asio::write(socket, asio::buffer(right ? ready(session) : "ERR MISROUTED " + id_ + "\r\n"),
                    error);
        return right && !error;
    }
    if (word != "QUERY")
        return false;
    if (session.silent)
        return true;
    const auto statement = take(line);
    std::optional<LogPlace> after;
    auto verb = take(line);
    if (verb == "AFTER") {
        after = parsePlace(take(line));
        verb = take(line);
    }
    bool loseAnswer = false;
    std::string text;
    if (after && group_.applied(id_) < *after)
        text = fail(session, "LAGGING");
    else if (verb == "BEGIN")
        text = begin(session, line == "READ");
    else
        text = run(session, statement, verb, line, loseAnswer);
    return finish(socket, session, std::move(text), loseAnswer);
}

/// Sends \a text as the answer, or loses it as the test has asked. Returns whether the connection
/// stays open.
bool DatabaseServer::finish(Socket &socket, Session &session, std::string text, bool loseAnswer)
{
    if (loseAnswer) {
        const auto loss = group_.with(id_, [](const auto &member) { return member.answerLoss; });
        session.silent = loss == AnswerLoss::Silence;
        if (loss != AnswerLoss::Cut)
            return loss != AnswerLoss::Close;
    } else {
        text += ready(session);
    }
    boost::system::error_code error;
    asio::write(socket, asio::buffer(text), error);
    return !error;
}

bool DatabaseServer::leads(const Session &session)
{
    return group_.with(id_, [&](const auto &member) {
        return member.primary && (!session.open || member.term == session.term);
    });
}

std::string DatabaseServer::fail(Session &session, const std::string &error)
{
    session.failed = session.open;
    session.writes.clear();
    return "ERR " + error + "\r\n";
}

std::string DatabaseServer::begin(Session &session, bool readOnly)
{
    if (session.open)
        return fail(session, "MALFORMED");
    if (!readOnly && !leads(session))
        return fail(session, "READONLY " + id_);
    session.open = true;
    session.plain = !readOnly;
    session.term = group_.with(id_, [](const auto &member) { return member.term; });
    return "DONE -\r\n";
}

std::string DatabaseServer::run(Session &session, const std::string &statement, std::string verb,
                                std::string rest, bool &loseAnswer)
{
    if (verb == "ROLLBACK") {
        session.open = false;
        session.failed = false;
        session.writes.clear();
        return "DONE -\r\n";
    }
    if (session.failed)
        return "ERR MALFORMED\r\n";
    if (verb == "SET") {
        const auto name = take(rest);
        session.values[name] = rest;
        return "DONE -\r\n";
    }
    if (verb == "RESET") {
        session.values.clear();
        session.prepared.clear();
        return "DONE -\r\n";
    }
    if (verb == "PREPARE") {
        const auto name = take(rest);
        session.prepared[name] = take(rest);
        return "DONE -\r\n";
    }
    if (group_.with(id_, [](const auto &member) { return member.busy; }))
        return fail(session, "BUSY");
    if (verb == "STATUS")
        return status();
    if (verb == "COMMIT")
        return commit(session, loseAnswer);
    if (verb == "EXEC") {
        const auto found = session.prepared.find(take(rest));
        if (found == session.prepared.end())
            return fail(session, "NOSTMT");
        verb = found->second;
    }
    if (session.open && session.plain && !leads(session))
        return fail(session, "READONLY " + id_);
    if (verb == "READ") {
        const auto [work, rows] = group_.reads();
        std::this_thread::sleep_for(work);
        // The row shows the session's values too, so that a test sees those of another client.
        auto row = group_.read(id_, rest).first;
        for (const auto &[name, value] : session.values)
            row.append(" ").append(name).append("=").append(value);
        std::string result;
        for (std::size_t i = 0; i < rows; ++i)
            result.append("ROW ").append(row).append("\r\n");
        return result + "DONE r." + statement + "\r\n";
    }
    const auto item = take(rest);
    session.writes.push_back({{}, statement, item, rest});
    if (session.open)
        return "DONE w." + statement + "\r\n";
    return commit(session, loseAnswer);
}

std::string DatabaseServer::commit(Session &session, bool &loseAnswer)
{
    auto writes = std::exchange(session.writes, {});
    const bool wrote = !writes.empty();
    if (wrote && (!leads(session) || !group_.commit(id_, std::move(writes))))
        return fail(session, "READONLY " + id_);
    session.open = false;
    if (wrote) {
        loseAnswer = group_.with(
            id_, [](auto &member) { return member.lostAnswers > 0 && member.lostAnswers-- > 0; });
    }
    return "DONE c.1\r\n";
}

std::string DatabaseServer::status()
{
    const auto [primary, term, received] = group_.with(id_, [](const auto &member) {
        const auto place = member.log.empty() ? LogPlace{member.term, 0} : member.log.back().place;
        return std::tuple(member.primary, member.term, place);
    });
    return std::string("ROW ") + (primary ? "primary " : "replica ") + std::to_string(term) + ' '
           + toText(received) + " 0 0 0 1\r\nDONE -\r\n";
}

std::string DatabaseServer::ready(const Session &session)
{
    const char state = session.failed ? 'E' : session.open ? 'T' : 'I';
    return std::string("READY ") + state + ' ' + toText(group_.applied(id_)) + "\r\n";
}

} // namespace standin
