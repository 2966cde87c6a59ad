#include "core/configurationmachine.h"

#include <algorithm>

namespace shallotwalk {

namespace {

/// Reads of the head after a lost answer before the operator is told that the result is unknown.
constexpr unsigned maxResolvingReads = 3;

} // namespace

ConfigurationMachine::ConfigurationMachine(std::set<std::string> peers)
    : peers_(std::move(peers))
{
}

ConfigurationActions ConfigurationMachine::propose(TablesProposal proposal)
{
    ConfigurationActions actions;
    auto problems = validate(*proposal.tables);
    if (!problems.empty()) {
        actions.emplace_back(AnswerProposal{proposal.id, ProposalStatus::Invalid, head_.version,
                                            std::move(problems)});
        return actions;
    }
    proposals_.push_back(std::move(proposal));
    if (step_ == Step::Idle)
        beginNext(actions);
    return actions;
}

ConfigurationActions ConfigurationMachine::headSeen(const TablesHead &head, const std::string &peer)
{
    ConfigurationActions actions;
    if (peer.empty() && !requiredVersion_)
        requiredVersion_ = head.version;
    load(head, peer, actions);
    return actions;
}

ConfigurationActions ConfigurationMachine::headRead(const std::optional<TablesHead> &head,
                                                    std::int64_t revision)
{
    auto actions = headSeen(head.value_or(TablesHead{}), {});
    if (step_ == Step::ReadingHead) {
        const auto current = head ? head->version : 0;
        if (current != proposals_.front().expected || current < head_.version) {
            answer(ProposalStatus::Conflict, std::max(current, head_.version), actions);
        } else {
            revision_ = revision;
            step_ = Step::WritingParts;
            actions.emplace_back(WriteParts{proposals_.front().id});
        }
    } else if (step_ == Step::Resolving) {
        resolve(head, actions);
    }
    return actions;
}

ConfigurationActions ConfigurationMachine::headReadFailed()
{
    ConfigurationActions actions;
    if (step_ == Step::ReadingHead)
        answer(ProposalStatus::Unknown, head_.version, actions);
    else if (step_ == Step::Resolving)
        readAgain(actions);
    return actions;
}

ConfigurationActions ConfigurationMachine::partsLoaded(const TablesHead &head,
                                                       std::shared_ptr<const Tables> tables)
{
    ConfigurationActions actions;
    if (loading_ == head) {
        loading_.reset();
        reload_ = !tables;
    }
    if (tables)
        putIntoForce(head, std::move(tables), actions);
    return actions;
}

ConfigurationActions ConfigurationMachine::partsWritten(bool success)
{
    ConfigurationActions actions;
    if (step_ != Step::WritingParts)
        return actions;
    if (!success) {
        answer(ProposalStatus::Unknown, head_.version, actions);
        return actions;
    }
    step_ = Step::Swapping;
    actions.emplace_back(SwapHead{proposedHead(), revision_});
    return actions;
}

ConfigurationActions ConfigurationMachine::swapAnswered(HeadSwap result)
{
    ConfigurationActions actions;
    if (step_ != Step::Swapping)
        return actions;
    if (result == HeadSwap::Swapped) {
        accept(actions);
        return actions;
    }
    // A conflict is read back as well, for the operator is told the current version.
    step_ = Step::Resolving;
    resolvingReads_ = 0;
    actions.emplace_back(ReadHead{});
    return actions;
}

ConfigurationActions ConfigurationMachine::peerAnswered(const std::string &peer,
                                                        const TablesHead &head)
{
    ConfigurationActions actions;
    load(head, peer, actions);
    if (requiredVersion_ || !peers_.contains(peer))
        return actions;
    peerHeads_.insert_or_assign(peer, head);
    if (peerHeads_.size() < peers_.size() / 2 + 1)
        return actions;
    ConfigurationVersion highest = 0;
    for (const auto &[name, answered] : peerHeads_)
        highest = std::max(highest, answered.version);
    requiredVersion_ = highest;
    return actions;
}

ConfigurationActions ConfigurationMachine::tick()
{
    ConfigurationActions actions;
    if (step_ == Step::Idle && (!isReady() || reload_))
        actions.emplace_back(ReadHead{});
    return actions;
}

void ConfigurationMachine::beginNext(ConfigurationActions &actions)
{
    if (proposals_.empty()) {
        step_ = Step::Idle;
        return;
    }
    step_ = Step::ReadingHead;
    actions.emplace_back(ReadHead{});
}

void ConfigurationMachine::answer(ProposalStatus status, ConfigurationVersion version,
                                  ConfigurationActions &actions)
{
    actions.emplace_back(AnswerProposal{proposals_.front().id, status, version, {}});
    proposals_.pop_front();
    beginNext(actions);
}

/// Finds out from the head whether the proposal's swap took effect.
void ConfigurationMachine::resolve(const std::optional<TablesHead> &head,
                                   ConfigurationActions &actions)
{
    const auto proposed = proposedHead();
    const auto current = head.value_or(TablesHead{});
    if (current.editId == proposed.editId)
        accept(actions);
    else if (current.version < proposed.version)
        readAgain(actions); // The swap may still take effect.
    else if (current.version == proposed.version)
        answer(ProposalStatus::Conflict, current.version, actions);
    else
        answer(ProposalStatus::Unknown, current.version, actions);
}

void ConfigurationMachine::readAgain(ConfigurationActions &actions)
{
    if (++resolvingReads_ < maxResolvingReads)
        actions.emplace_back(ReadHead{});
    else
        answer(ProposalStatus::Unknown, head_.version, actions);
}

void ConfigurationMachine::accept(ConfigurationActions &actions)
{
    const auto head = proposedHead();
    auto tables = std::make_shared<Tables>(*proposals_.front().tables);
    tables->version = head.version;
    putIntoForce(head, std::move(tables), actions);
    answer(ProposalStatus::Accepted, head.version, actions);
}

void ConfigurationMachine::load(const TablesHead &head, const std::string &peer,
                                ConfigurationActions &actions)
{
    if (head.version <= head_.version || (loading_ && head.version <= loading_->version))
        return;
    loading_ = head;
    actions.emplace_back(FetchParts{head, peer});
}

void ConfigurationMachine::putIntoForce(const TablesHead &head,
                                        std::shared_ptr<const Tables> tables,
                                        ConfigurationActions &actions)
{
    if (head.version <= head_.version)
        return;
    head_ = head;
    tables_ = std::move(tables);
    if (loading_ && loading_->version <= head_.version)
        loading_.reset();
    actions.emplace_back(PublishTables{tables_});
}

TablesHead ConfigurationMachine::proposedHead() const
{
    const auto &proposal = proposals_.front();
    return {proposal.expected + 1, proposal.editId, proposal.parts};
}

} // namespace shallotwalk
