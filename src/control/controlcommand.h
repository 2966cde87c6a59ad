#pragma once

#include "control/controlclient.h"
#include "control/controloptions.h"

#include <ostream>

namespace shallotwalk {

/// Runs one call of shallotwalkctl: results go to \a out, errors to \a err. Blocks for at most some
/// 20 s. Not thread-safe.
class ControlCommand
{
public:
    /// \pre \a options.addresses is not empty.
    ControlCommand(ControlOptions options, std::ostream &out, std::ostream &err);

    ControlExit run();

private:
    Result<ControlExit> dispatch();
    Result<ControlExit> validate();
    Result<ControlExit> diff();
    Result<ControlExit> apply();
    Result<ControlExit> show();
    Result<ControlExit> status();
    Result<ControlExit> fleet();
    Result<ControlExit> dump();
    Result<ControlExit> drain();
    Result<ControlExit> story();

    Result<Tables> readTables() const;
    Result<Tables> tablesInForce();
    ControlExit printConflict(const ControlAnswer &answer, const Tables &wanted);
    void printDiff(const Tables &current, const Tables &wanted);
    static void printChanges(std::ostream &stream, const Tables &before, const Tables &after);
    Result<ControlExit> refused(const ControlAnswer &answer);

    ControlOptions options_;
    ControlClient client_;
    std::ostream &out_;
    std::ostream &err_;
};

/// Reads the command line without the program's name and runs it.
int runControl(std::span<const std::string> arguments, std::ostream &out, std::ostream &err);

} // namespace shallotwalk
