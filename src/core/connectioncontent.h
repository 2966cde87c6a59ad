#pragma once

#include "core/sqlsession.h"

#include <set>
#include <string>
#include <vector>

namespace shallotwalk {

/// The session values and prepared statements on one connection to a backend server, which serves
/// many clients in turn. Clients' names of prepared statements collide, so a statement is prepared
/// under a name derived from what it does. Not thread-safe.
class ConnectionContent
{
public:
    /// The commands that bring the connection to exactly \a values and, if \a prepared is set, make
    /// that statement known. Assumes that they will be carried out.
    std::vector<ServerCommand> prepareFor(const SessionValues &values,
                                          const std::optional<PreparedStatement> &prepared);

    /// The server doesn't know \a prepared any more.
    void forget(const PreparedStatement &prepared) { prepared_.erase(prepared); }

    /// Name of \a prepared on every connection: the same for all clients. Thread-safe.
    static std::string nameOf(const PreparedStatement &prepared);

private:
    SessionValues values_;
    std::set<PreparedStatement> prepared_;
};

} // namespace shallotwalk
