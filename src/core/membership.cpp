#include "core/membership.h"

#include <algorithm>
#include <bit>

namespace shallotwalk {

namespace {

/// Probes on behalf of others that may be open at a time.
constexpr std::size_t maxRelayedProbes = 256;
/// Rumors that may wait; the oldest are spread first, so a burst only delays the newer ones.
constexpr std::size_t maxRumors = 4096;
/// Bound of known members, four times the design size.
constexpr std::size_t maxMembers = 10'400;

/// Whether \a state at \a incarnation replaces \a known: a higher incarnation does, and within one
/// incarnation a more severe state.
bool overrides(std::uint64_t incarnation, MemberState state, const MemberUpdate &known)
{
    if (incarnation != known.incarnation)
        return incarnation > known.incarnation;
    return state > known.state;
}

bool sameAddress(const MemberUpdate &left, const MemberUpdate &right)
{
    return left.host == right.host && left.port == right.port
           && left.dataCentre == right.dataCentre;
}

} // namespace

Membership::Membership(MemberUpdate self, std::vector<MemberAddress> seeds,
                       std::uint64_t randomSeed, const MembershipSettings &settings)
    : self_(std::move(self))
    , seeds_(std::move(seeds))
    , settings_(settings)
    , random_(randomSeed)
    , exchangeInterval_(settings.firstExchange)
{
    self_.state = MemberState::Alive;
    spread(self_.vm);
}

MembershipActions Membership::tick(TimePoint now)
{
    MembershipActions actions;
    skipMissedTime(now);
    if (probe_ && !probe_->indirectSent && now >= probe_->ackDue)
        sendIndirectProbes(actions);
    if (now >= rejoinDue_)
        contactLostMembers(now, actions);
    if (now >= exchangeDue_)
        exchangeFullState(now, actions);
    if (now >= periodDue_)
        startPeriod(now, actions);
    expire(now, actions);
    return actions;
}

TimePoint Membership::nextDue() const
{
    auto due = std::min({periodDue_, rejoinDue_, exchangeDue_});
    if (probe_ && !probe_->indirectSent)
        due = std::min(due, probe_->ackDue);
    for (const auto &vm : suspects_) {
        const auto &entry = members_.find(vm)->second;
        due = std::min(due, entry.changedAt + suspicionOf(entry));
    }
    return due;
}

MembershipActions Membership::receive(std::string_view from, const MembershipMessage &message,
                                      TimePoint now)
{
    MembershipActions actions;
    for (const auto &update : message.updates)
        apply(update, message.fullState && message.kind == MembershipKind::Ack, now, actions);
    if (message.configurationVersion > configurationVersion_)
        actions.newerConfiguration = message.configurationVersion;
    switch (message.kind) {
    case MembershipKind::Probe:
        handleProbe(from, message, actions);
        break;
    case MembershipKind::Ack:
        handleAck(message, now, actions);
        break;
    case MembershipKind::IndirectProbe:
        handleIndirectProbe(from, message, now, actions);
        break;
    }
    return actions;
}

void Membership::announceConfiguration(ConfigurationVersion version)
{
    configurationVersion_ = std::max(configurationVersion_, version);
}

std::vector<MemberUpdate> Membership::liveMembers() const
{
    std::vector<MemberUpdate> live{self_};
    live.reserve(live_ + 1);
    for (const auto &[vm, entry] : members_) {
        if (entry.update.state != MemberState::Dead)
            live.push_back(entry.update);
    }
    std::sort(live.begin(), live.end(),
              [](const auto &left, const auto &right) { return left.vm < right.vm; });
    return live;
}

std::optional<MemberState> Membership::stateOf(std::string_view vm) const
{
    const auto found = members_.find(vm);
    if (found == members_.end())
        return std::nullopt;
    return found->second.update.state;
}

Duration Membership::suspicionOf(const Entry &entry) const
{
    return entry.suspectedHere ? settings_.suspicion : settings_.suspicionHeard;
}

void Membership::skipMissedTime(TimePoint now)
{
    // After a pause of this VM, answers that it couldn't read in time say nothing about others.
    if (now - periodDue_ < settings_.period)
        return;
    probe_.reset();
    for (const auto &vm : suspects_)
        members_.find(vm)->second.changedAt = now;
}

void Membership::exchangeFullState(TimePoint now, MembershipActions &actions)
{
    const auto names = liveNames();
    // The interval varies by half, so that members that started together don't exchange together.
    std::uniform_int_distribution<Duration::rep> jitter(exchangeInterval_.count() / 2,
                                                        exchangeInterval_.count() * 3 / 2);
    exchangeDue_ = now + Duration(jitter(random_));
    if (names.empty())
        return;
    const auto longest = settings_.exchangePerMember * static_cast<Duration::rep>(names.size());
    exchangeInterval_ = std::min(exchangeInterval_ * 4, std::max(settings_.firstExchange, longest));
    std::uniform_int_distribution<std::size_t> choice(0, names.size() - 1);
    auto message = makeMessage(MembershipKind::Probe, ++lastSequence_);
    message.fullState = true;
    sendTo(names[choice(random_)], std::move(message), actions, true);
}

void Membership::startPeriod(TimePoint now, MembershipActions &actions)
{
    finishProbe(now, actions);
    periodDue_ = now + settings_.period;
    // The suspicion of this VM's own probes is repeated to the suspect, so that one lost message
    // doesn't make a live member dead.
    for (const auto &vm : suspects_) {
        if (members_.find(vm)->second.suspectedHere)
            sendTo(vm, makeMessage(MembershipKind::Probe, ++lastSequence_), actions, true);
    }
    const auto target = nextTarget();
    if (!target)
        return;
    probe_ = OpenProbe{*target, ++lastSequence_, now + settings_.ackTimeout, false};
    sendTo(*target, makeMessage(MembershipKind::Probe, lastSequence_), actions, true);
}

void Membership::finishProbe(TimePoint now, MembershipActions &actions)
{
    if (!probe_)
        return;
    const auto found = members_.find(probe_->vm);
    probe_.reset();
    if (found == members_.end() || found->second.update.state != MemberState::Alive)
        return;
    found->second.suspectedHere = true;
    changeState(found->second, MemberState::Suspect, now, actions);
}

void Membership::sendIndirectProbes(MembershipActions &actions)
{
    probe_->indirectSent = true;
    auto helpers = liveNames();
    std::erase(helpers, probe_->vm);
    const auto count = std::min(settings_.indirectProbes, helpers.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::uniform_int_distribution<std::size_t> choice(index, helpers.size() - 1);
        std::swap(helpers[index], helpers[choice(random_)]);
        auto message = makeMessage(MembershipKind::IndirectProbe, probe_->sequence);
        message.target = probe_->vm;
        sendTo(helpers[index], std::move(message), actions);
    }
}

void Membership::contactLostMembers(TimePoint now, MembershipActions &actions)
{
    rejoinDue_ = now + settings_.rejoinInterval;
    std::vector<MemberAddress> lost;
    for (const auto &seed : seeds_) {
        const auto known = std::any_of(members_.begin(), members_.end(), [&](const auto &entry) {
            const auto &update = entry.second.update;
            return update.state != MemberState::Dead
                   && (update.vm == seed.vm
                       || (update.host == seed.host && update.port == seed.port));
        });
        if (!known && seed.vm != self_.vm && (seed.host != self_.host || seed.port != self_.port))
            lost.push_back(seed);
    }
    for (const auto &[vm, entry] : members_) {
        if (entry.update.state == MemberState::Dead)
            lost.push_back({vm, entry.update.host, entry.update.port});
    }
    if (lost.empty())
        return;
    std::uniform_int_distribution<std::size_t> choice(0, lost.size() - 1);
    const auto &target = lost[choice(random_)];
    auto message = makeMessage(MembershipKind::Probe, ++lastSequence_);
    message.fullState = true;
    message.updates.push_back(self_);
    const auto dead = members_.find(target.vm);
    if (dead != members_.end())
        message.updates.push_back(dead->second.update);
    actions.sends.push_back({target.vm, target.host, target.port, std::move(message)});
}

void Membership::expire(TimePoint now, MembershipActions &actions)
{
    std::vector<std::string> dead;
    for (const auto &vm : suspects_) {
        const auto &entry = members_.find(vm)->second;
        if (now - entry.changedAt >= suspicionOf(entry))
            dead.push_back(vm);
    }
    for (const auto &vm : dead)
        changeState(members_.find(vm)->second, MemberState::Dead, now, actions);
    std::erase_if(relayed_, [&](const auto &entry) { return entry.second.expires <= now; });
    if (now < rejoinDue_ && now + settings_.rejoinInterval != rejoinDue_)
        return; // Dead members are forgotten when a rejoin interval begins; that is often enough.
    std::erase_if(members_, [&](const auto &entry) {
        return entry.second.update.state == MemberState::Dead
               && now - entry.second.changedAt >= settings_.deadRetention;
    });
}

void Membership::handleProbe(std::string_view from, const MembershipMessage &message,
                             MembershipActions &actions)
{
    auto ack = makeMessage(MembershipKind::Ack, message.sequence);
    if (message.fullState) {
        ack.fullState = true;
        ack.updates.clear();
        ack.updates.reserve(members_.size() + 1);
        for (const auto &[vm, entry] : members_)
            ack.updates.push_back(entry.update);
        ack.updates.push_back(self_);
    }
    sendTo(from, std::move(ack), actions);
}

void Membership::handleAck(const MembershipMessage &message, TimePoint now,
                           MembershipActions &actions)
{
    const auto relayed = relayed_.find(message.sequence);
    if (relayed != relayed_.end()) {
        sendTo(relayed->second.requester,
               makeMessage(MembershipKind::Ack, relayed->second.requesterSequence), actions);
        relayed_.erase(relayed);
    }
    if (probe_ && probe_->sequence == message.sequence && now < periodDue_)
        probe_.reset();
}

void Membership::handleIndirectProbe(std::string_view from, const MembershipMessage &message,
                                     TimePoint now, MembershipActions &actions)
{
    if (relayed_.size() >= maxRelayedProbes || members_.find(message.target) == members_.end())
        return;
    const auto sequence = ++lastSequence_;
    relayed_[sequence] = {std::string(from), message.sequence, now + settings_.period};
    sendTo(message.target, makeMessage(MembershipKind::Probe, sequence), actions, true);
}

void Membership::apply(const MemberUpdate &update, bool fromFullState, TimePoint now,
                       MembershipActions &actions)
{
    if (update.vm == self_.vm)
        return refute(update);
    const auto found = members_.find(update.vm);
    if (found == members_.end()) {
        // An unknown dead member was forgotten here or is old news to a new member.
        if (members_.size() >= maxMembers || update.vm.empty() || update.state == MemberState::Dead)
            return;
        members_[update.vm] = {update, now, false};
        ++live_;
        actions.membersChanged = true;
        if (update.state == MemberState::Suspect)
            suspects_.insert(update.vm);
        // The content of full lists isn't new to others and isn't spread again.
        if (!fromFullState)
            spread(update.vm);
        return;
    }
    auto &entry = found->second;
    // After a partition the other side's list calls live members dead; they get the time of a
    // suspicion to refute that.
    const bool doubtful = fromFullState && update.state == MemberState::Dead
                          && entry.update.state != MemberState::Dead;
    const auto state = doubtful ? MemberState::Suspect : update.state;
    if (!overrides(update.incarnation, state, entry.update))
        return;
    const bool moved = !sameAddress(update, entry.update);
    const auto before = entry.update.state;
    entry.update = update;
    entry.update.state = before;
    entry.suspectedHere = false;
    changeState(entry, state, now, actions);
    actions.membersChanged = actions.membersChanged || moved;
}

void Membership::refute(const MemberUpdate &update)
{
    const bool wrong = update.state != MemberState::Alive || !sameAddress(update, self_);
    if (update.incarnation < self_.incarnation
        || (update.incarnation == self_.incarnation && !wrong))
        return;
    self_.incarnation = update.incarnation + 1;
    spread(self_.vm);
}

void Membership::changeState(Entry &entry, MemberState state, TimePoint now,
                             MembershipActions &actions)
{
    const bool wasLive = entry.update.state != MemberState::Dead;
    const bool isLive = state != MemberState::Dead;
    entry.update.state = state;
    entry.changedAt = now;
    if (state == MemberState::Suspect)
        suspects_.insert(entry.update.vm);
    else
        suspects_.erase(entry.update.vm);
    if (wasLive != isLive) {
        live_ += isLive ? 1 : -1;
        actions.membersChanged = true;
    }
    spread(entry.update.vm);
}

void Membership::spread(std::string_view vm)
{
    std::erase_if(rumors_, [&](const Rumor &rumor) { return rumor.vm == vm; });
    if (rumors_.size() < maxRumors)
        rumors_.push_back({std::string(vm), 0});
}

void Membership::sendTo(std::string_view vm, MembershipMessage message, MembershipActions &actions,
                        bool aboutReceiver)
{
    const auto found = members_.find(vm);
    MembershipSend send{std::string(vm), {}, 0, std::move(message)};
    if (found != members_.end()) {
        const auto &update = found->second.update;
        send.host = update.host;
        send.port = update.port;
        // A suspect must hear of the suspicion to refute it.
        if (aboutReceiver && update.state != MemberState::Alive)
            send.message.updates.push_back(update);
    }
    actions.sends.push_back(std::move(send));
}

MembershipMessage Membership::makeMessage(MembershipKind kind, std::uint64_t sequence)
{
    MembershipMessage message;
    message.kind = kind;
    message.sequence = sequence;
    message.configurationVersion = configurationVersion_;
    addRumors(message);
    return message;
}

void Membership::addRumors(MembershipMessage &message)
{
    const auto count = std::min(settings_.updatesPerMessage, rumors_.size());
    std::partial_sort(rumors_.begin(), rumors_.begin() + static_cast<std::ptrdiff_t>(count),
                      rumors_.end(), [](const Rumor &left, const Rumor &right) {
                          return left.transmissions < right.transmissions;
                      });
    for (std::size_t index = 0; index < count; ++index) {
        auto &rumor = rumors_[index];
        ++rumor.transmissions;
        const auto found = members_.find(rumor.vm);
        if (found != members_.end())
            message.updates.push_back(found->second.update);
        else if (rumor.vm == self_.vm)
            message.updates.push_back(self_);
    }
    const auto limit = transmissionLimit();
    std::erase_if(rumors_, [&](const Rumor &rumor) { return rumor.transmissions >= limit; });
}

std::size_t Membership::transmissionLimit() const
{
    return settings_.retransmissionFactor * static_cast<std::size_t>(std::bit_width(live_ + 1));
}

std::optional<std::string> Membership::nextTarget()
{
    for (int round = 0; round < 2; ++round) {
        while (!order_.empty()) {
            auto vm = std::move(order_.back());
            order_.pop_back();
            const auto found = members_.find(vm);
            if (found != members_.end() && found->second.update.state != MemberState::Dead)
                return vm;
        }
        order_ = liveNames();
        std::shuffle(order_.begin(), order_.end(), random_);
    }
    return std::nullopt;
}

std::vector<std::string> Membership::liveNames() const
{
    std::vector<std::string> names;
    names.reserve(live_);
    for (const auto &[vm, entry] : members_) {
        if (entry.update.state != MemberState::Dead)
            names.push_back(vm);
    }
    return names;
}

} // namespace shallotwalk
