#pragma once

#include "databasegroup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace standin {

/// Speaks the platform's line protocol for one member of a group, with a thread for each
/// connection.
class DatabaseServer
{
public:
    DatabaseServer(DatabaseGroup &group, std::string service, std::string id);

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// Serves on threads of its own until the process ends.
    void start();

    /// Ends all connections.
    void closeConnections();

private:
    using Socket = boost::asio::ip::tcp::socket;

    struct Session
    {
        bool open = false;   ///< A transaction is open.
        bool plain = false;  ///< It may write.
        bool failed = false; ///< It has failed.
        bool silent = false; ///< Nothing further is answered.
        std::uint64_t term = 0;
        std::vector<LogEntry> writes;
        std::map<std::string, std::string> values;
        std::map<std::string, std::string> prepared; ///< Name: READ or WRITE.
    };

    void accept();
    void serve(Socket &socket);
    bool answer(Socket &socket, Session &session, std::string line);
    std::string begin(Session &session, bool readOnly);
    std::string run(Session &session, const std::string &statement, std::string verb,
                    std::string rest, bool &loseAnswer);
    std::string commit(Session &session, bool &loseAnswer);
    std::string status();
    std::string ready(const Session &session);
    std::string fail(Session &session, const std::string &error);
    bool finish(Socket &socket, Session &session, std::string text, bool loseAnswer);
    bool leads(const Session &session);

    DatabaseGroup &group_;
    std::string service_;
    std::string id_;
    boost::asio::io_context context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::mutex mutex_;
    std::set<int> sockets_;
};

} // namespace standin
