#pragma once

#include "core/sqlsession.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotwalk {

/// Tracks the session values and prepared statements on one connection to a backend server, which
/// is shared by many clients in turn. Different clients may use one name for different prepared
/// statements, so each statement gets a name of its own, which is never used again on the
/// connection. Not thread-safe.
class ConnectionContent
{
public:
    /// Returns the commands that set the connection's session values to exactly \a values and, if
    /// \a prepared is set, prepare that statement. The caller must send them: the object records
    /// them as carried out.
    std::vector<ServerCommand> prepareFor(const SessionValues &values,
                                          const std::optional<PreparedStatement> &prepared);

    /// Records that \a prepared is no longer prepared at the server.
    void forget(const PreparedStatement &prepared) { names_.erase(prepared); }

    /// Returns the name of \a prepared on the connection. It is short, whatever the statement.
    /// \pre prepareFor() was the last call and was given \a prepared.
    const std::string &nameOf(const PreparedStatement &prepared) const
    {
        return names_.at(prepared);
    }

private:
    SessionValues values_;
    std::map<PreparedStatement, std::string> names_; ///< Of the prepared statements.
    std::uint64_t lastName_ = 0;
};

} // namespace shallotwalk
