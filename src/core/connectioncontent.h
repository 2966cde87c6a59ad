#pragma once

#include "core/sqlsession.h"

#include <set>
#include <string>
#include <vector>

namespace shallotwalk {

/// Tracks the session values and prepared statements on one connection to a backend server, which
/// is shared by many clients in turn. Different clients may use one name for different prepared
/// statements, so a statement is prepared under a name derived from its text. Not thread-safe.
class ConnectionContent
{
public:
    /// Returns the commands that set the connection's session values to exactly \a values and, if
    /// \a prepared is set, prepare that statement. The caller must send them: the object records
    /// them as carried out.
    std::vector<ServerCommand> prepareFor(const SessionValues &values,
                                          const std::optional<PreparedStatement> &prepared);

    /// Records that \a prepared is no longer prepared at the server.
    void forget(const PreparedStatement &prepared) { prepared_.erase(prepared); }

    /// Returns the name of \a prepared at servers, the same for all connections and clients.
    /// Thread-safe.
    static std::string nameOf(const PreparedStatement &prepared);

private:
    SessionValues values_;
    std::set<PreparedStatement> prepared_;
};

} // namespace shallotwalk
