#pragma once

#include "core/tableshead.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace shallotwalk {

/// An operator's change. Its tables come into force as version \c expected + 1 or not at all.
struct TablesProposal
{
    std::uint64_t id = 0; ///< Chosen by the caller to match the answer.
    ConfigurationVersion expected = 0;
    std::shared_ptr<const Tables> tables;
    std::string editId;             ///< Unique over all proxies and restarts.
    std::vector<std::string> parts; ///< Content hashes.
};

enum class ProposalStatus { Accepted, Conflict, Invalid, Unknown };

/// Load the parts of \c head, from the store or from \c peer if it is not empty.
struct FetchParts
{
    TablesHead head;
    std::string peer;
};

/// Write the parts of the current proposal to the store.
struct WriteParts
{
    std::uint64_t proposal = 0;
};

/// Replace the head in the store if its revision is still \c expectedRevision.
struct SwapHead
{
    TablesHead head;
    std::int64_t expectedRevision = 0;
};

/// Read the head from the store.
struct ReadHead
{
};

/// Put tables into force.
struct PublishTables
{
    std::shared_ptr<const Tables> tables;
};

/// Answer the operator.
struct AnswerProposal
{
    std::uint64_t proposal = 0;
    ProposalStatus status = ProposalStatus::Unknown;
    ConfigurationVersion version = 0; ///< In force after Accepted, current after Conflict.
    std::vector<TableProblem> problems;
};

using ConfigurationAction =
    std::variant<FetchParts, WriteParts, SwapHead, ReadHead, PublishTables, AnswerProposal>;
using ConfigurationActions = std::vector<ConfigurationAction>;

/// Result of a head swap as far as it is known. Unknown: it may have taken or still take effect.
enum class HeadSwap { Swapped, Conflict, Unknown };

/// Decides which version of the tables is in force on this proxy and carries proposals through the
/// store one at a time. The version never decreases. Not thread-safe.
class ConfigurationMachine
{
public:
    /// \a peers are the other known proxies; a majority of them replaces the store at the start.
    explicit ConfigurationMachine(std::set<std::string> peers);

    /// Replaces the set of the other known proxies.
    void setPeers(std::set<std::string> peers) { peers_ = std::move(peers); }

    /// Takes an operator's change; the answer comes as AnswerProposal.
    /// \pre proposal.tables is not null.
    ConfigurationActions propose(TablesProposal proposal);

    /// A head was reported by the store's watch (\a peer empty) or by a peer.
    ConfigurationActions headSeen(const TablesHead &head, const std::string &peer);

    /// Answer to ReadHead; \a head is empty if the key is absent.
    ConfigurationActions headRead(const std::optional<TablesHead> &head, std::int64_t revision);

    /// The store did not answer ReadHead.
    ConfigurationActions headReadFailed();

    /// Result of FetchParts; \a tables is null after a failure.
    ConfigurationActions partsLoaded(const TablesHead &head, std::shared_ptr<const Tables> tables);

    /// Result of WriteParts.
    ConfigurationActions partsWritten(bool success);

    /// Result of SwapHead.
    ConfigurationActions swapAnswered(HeadSwap result);

    /// A peer that is ready has answered with its head (version 0: none).
    ConfigurationActions peerAnswered(const std::string &peer, const TablesHead &head);

    /// Repeats the work that failed earlier. Call about once a second.
    ConfigurationActions tick();

    /// True once the tables in force are at least those known to the store, or to a majority of
    /// the peers, at the start.
    bool isReady() const { return requiredVersion_ && head_.version >= *requiredVersion_; }

    const TablesHead &head() const { return head_; }
    const std::shared_ptr<const Tables> &tables() const { return tables_; }

private:
    enum class Step { Idle, ReadingHead, WritingParts, Swapping, Resolving };

    void beginNext(ConfigurationActions &actions);
    void answer(ProposalStatus status, ConfigurationVersion version, ConfigurationActions &actions);
    void resolve(const std::optional<TablesHead> &head, ConfigurationActions &actions);
    void readAgain(ConfigurationActions &actions);
    void accept(ConfigurationActions &actions);
    void load(const TablesHead &head, const std::string &peer, ConfigurationActions &actions);
    void putIntoForce(const TablesHead &head, std::shared_ptr<const Tables> tables,
                      ConfigurationActions &actions);
    TablesHead proposedHead() const;

    std::set<std::string> peers_;
    std::map<std::string, TablesHead> peerHeads_;
    std::optional<ConfigurationVersion> requiredVersion_;
    TablesHead head_; ///< In force.
    std::shared_ptr<const Tables> tables_ = std::make_shared<Tables>();
    std::optional<TablesHead> loading_;
    bool reload_ = false; ///< A version was not loaded and must be read again.
    std::deque<TablesProposal> proposals_;
    Step step_ = Step::Idle;
    std::int64_t revision_ = 0; ///< Store revision of the head that the proposal replaces.
    unsigned resolvingReads_ = 0;
};

} // namespace shallotwalk
