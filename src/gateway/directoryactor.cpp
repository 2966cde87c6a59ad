#include "gateway/directoryactor.h"

#include "gateway/httpcaller.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

namespace shallotwalk {

namespace {

using RetryList = caf::atom_constant<caf::atom("rtry_list")>;
using RetryWatch = caf::atom_constant<caf::atom("rtry_watch")>;
using RenewLease = caf::atom_constant<caf::atom("renew")>;
using RestorePromotions = caf::atom_constant<caf::atom("restore")>;
using ExpireEntries = caf::atom_constant<caf::atom("expire")>;

/// Empty, so that one listing and one watch cover all keys of the store.
constexpr std::string_view watchedPrefix;

/// Time between two checks for entries that may be removed after an outage of the store.
constexpr Duration expiryInterval = std::chrono::milliseconds(250);

} // namespace

caf::behavior DirectoryActor::run(Broker *self, DirectoryContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior DirectoryActor::start(DirectoryContext context)
{
    context_ = std::move(context);
    source_.emplace(CandidateVm{context_.self.vm, context_.self.dataCentre}, context_.source);
    // The feed may still serve what an earlier run of this actor has told it.
    self_->send(context_.feed, FeedStopped{});
    storeCallInProgress_ = true;
    list({});
    joinFleet();
    return {
        [this](RetryList) { list({}); },
        [this](RetryWatch) { continueWatching(); },
        [this](ReviewSource) {
            sourceDueAt_ = TimePoint::max();
            reviewSource();
        },
        [this](RenewLease, std::uint64_t number) {
            if (number != renewalNumber_)
                return; // A later renewal has been scheduled since.
            if (leaseHolds())
                renew();
            else
                joinFleet();
        },
        [this](RestorePromotions) {
            restoring_ = false;
            restorePromotions();
        },
        [this](ExpireEntries) {
            expiryScheduled_ = false;
            directoryChanged_ = directory_.expire(context_.clock->now()) || directoryChanged_;
            publish();
            scheduleExpiry();
        },
        [this](DirectoryRequest) {
            directoryChanged_ = true;
            publish();
            if (watching_)
                loadFeed();
        },
        [this](const ReportSuspicion &message) { reportSuspicion(message); },
        [this](LeaveFleet) { leaveFleet(); },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) { return dump(); },
        [this](MetricsRequest) { return metrics(); },
    };
}

template<class Decode, class Handle>
void DirectoryActor::call(const caf::actor &caller, std::string_view kind, HttpCall call,
                          Decode decode, Handle handle, void (DirectoryActor::*failed)())
{
    const auto timeout = call.timeout + context_.callTimeout + HttpCaller::transferLimit;
    ++storeCalls_[std::string(kind)];
    const auto callName = call.method + ' ' + call.target.substr(0, call.target.find('?'));
    self_->request(caller, timeout, HttpCallRequest{std::move(call)})
        .then(
            [=, this](const HttpCallResult &result) {
                if (result.response.status == 0) {
                    handleStoreFailure(callName, result.error);
                    (this->*failed)();
                    return;
                }
                boost::leaf::try_handle_all(
                    [&]() -> Result<void> {
                        BOOST_LEAF_AUTO(era, context_.protocols.store->decodeEra(result.response));
                        if (era < era_) {
                            return boost::leaf::new_error(
                                Failure{ErrorCode::BadRequest, Verdict::MayHaveRun,
                                        "the answer is of an earlier era of the store"});
                        }
                        noteEra(era);
                        BOOST_LEAF_AUTO(value, decode(result.response));
                        handleStoreAnswer();
                        handle(value);
                        return {};
                    },
                    [&](const Failure &failure) {
                        handleStoreFailure(callName, failure.message);
                        (this->*failed)();
                    },
                    [&] {
                        handleStoreFailure(callName, "unknown error");
                        (this->*failed)();
                    });
            },
            [=, this](const caf::error &error) {
                handleStoreFailure(callName, self_->system().render(error));
                (this->*failed)();
            });
}

void DirectoryActor::list(std::string after)
{
    if (after.empty()) {
        directory_.beginListing();
        listRevision_ = {};
        listItems_.clear();
    }
    auto call = context_.protocols.store->list(watchedPrefix, after);
    call.timeout = context_.callTimeout;
    this->call(
        context_.watchCaller, "list", std::move(call),
        [this](const HttpResponse &response) {
            return context_.protocols.store->decodePage(response);
        },
        [this](const StorePage &page) { handlePage(page); }, &DirectoryActor::listFailed);
}

void DirectoryActor::handlePage(StorePage page)
{
    if (listRevision_ != StoreRevision() && listRevision_.era() != page.revision.era()) {
        list({}); // The pages before are of an earlier era.
        return;
    }
    for (auto &item : page.items) {
        removeKeys(item);
        applyItem(item);
    }
    listItems_.insert(listItems_.end(), page.items.begin(), page.items.end());
    // The pages are not one snapshot: changes after the first page are reported by the watch, which
    // starts at the revision of that page.
    if (listRevision_ == StoreRevision())
        listRevision_ = page.revision;
    if (page.more && !page.items.empty()) {
        list(page.items.back().key);
        return;
    }
    pacer_.succeeded();
    if (listed_ && !source_->continuesAt(listRevision_))
        directory_.storeRestored(context_.clock->now());
    directoryChanged_ = directory_.endListing(context_.clock->now()) || directoryChanged_;
    for (const auto &item : source_->listed(std::exchange(listItems_, {}), listRevision_)) {
        if (item.modRevision == StoreRevision() && item.key.starts_with(promotionsPrefix))
            applyRemoval(item.key);
    }
    listed_ = true;
    if (watching_)
        loadFeed();
    spdlog::info("event=directory_read revision={} servers={} proxies={} configuration={}",
                 toString(listRevision_), directory_.servers().size(), directory_.proxyCount(),
                 directory_.configuration() ? directory_.configuration()->tables->version : 0);
    directoryChanged_ = true;
    publish();
    scheduleExpiry();
    continueWatching();
}

void DirectoryActor::listFailed()
{
    self_->delayed_send(self_, pacer_.failed(), RetryList::value);
}

/// Goes on after a watch or the delay before one, unless a watcher is asked by now.
void DirectoryActor::continueWatching()
{
    storeCallInProgress_ = source_->watchesStore();
    if (storeCallInProgress_)
        watch();
}

void DirectoryActor::watch()
{
    lastWatchAt_ = context_.clock->now();
    const auto wait =
        directory_.storeAvailable() ? source_->watchWait() : context_.watchWaitAfterFailure;
    auto call = context_.protocols.store->watch(watchedPrefix, source_->revision(), wait);
    call.timeout = wait + context_.watchAnswerMargin;
    this->call(
        context_.watchCaller, "watch", std::move(call),
        [this](const HttpResponse &response) {
            return context_.protocols.store->decodeChanges(response);
        },
        [this](const StoreChanges &changes) { handleChanges(changes); },
        &DirectoryActor::watchFailed);
}

void DirectoryActor::handleChanges(StoreChanges changes)
{
    if (changes.historyLost) {
        spdlog::warn("event=store_history_lost revision={}", toString(source_->revision()));
        list({});
        return;
    }
    if (!source_->continuesAt(changes.revision)) {
        spdlog::warn("event=store_watch_outdated revision={} store_revision={}",
                     toString(source_->revision()), toString(changes.revision));
        list({});
        return;
    }
    std::vector<FeedChange> reported;
    reported.reserve(changes.changes.size());
    for (auto &[item, deleted] : changes.changes) {
        removeKeys(item);
        reported.push_back({std::move(item), deleted});
    }
    applyNews(source_->changed(reported, changes.revision));
    if (watching_) {
        self_->send(context_.feed, FeedChanged{std::move(reported), changes.revision});
        self_->send(context_.feed, FeedConnected{true});
    }
    pacer_.succeeded();
    publish();
    scheduleExpiry();
    const auto now = context_.clock->now();
    pacer_.setProxies(directory_.proxyCount());
    const auto next = changes.changes.empty() ? now : pacer_.changed(lastWatchAt_, now);
    if (next > now)
        self_->delayed_send(self_, next - now, RetryWatch::value);
    else
        continueWatching();
}

void DirectoryActor::watchFailed()
{
    if (watching_)
        self_->send(context_.feed, FeedConnected{false});
    self_->delayed_send(self_, pacer_.failed(), RetryWatch::value);
}

/// Replaces the callers' keys in the configuration by their digests, before it is kept or passed on
/// to other proxies.
void DirectoryActor::removeKeys(KeyValue &item) const
{
    const auto &format = *context_.protocols.directory;
    if (item.key != format.configurationKey() || item.value.empty())
        return;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(item.value, format.withoutKeys(item.value));
            return {};
        },
        [&](const Failure &failure) {
            spdlog::warn("event=configuration_unreadable revision={} reason={}",
                         toString(item.modRevision), logValue(failure.message));
            item.value.clear();
        },
        [&] { item.value.clear(); });
}

void DirectoryActor::logIgnoredTeams(const OperatorConfiguration &configuration) const
{
    constexpr std::size_t loggedLimit = 20;
    const auto &ignored = configuration.ignoredTeams;
    for (std::size_t i = 0; i < std::min(ignored.size(), loggedLimit); ++i) {
        spdlog::warn("event=team_ignored version={} team={} reason={}",
                     configuration.tables->version, logValue(ignored[i].team),
                     logValue(ignored[i].message));
    }
    if (ignored.size() > loggedLimit) {
        spdlog::warn("event=teams_ignored version={} count={}", configuration.tables->version,
                     ignored.size());
    }
}

void DirectoryActor::applyItem(const KeyValue &item)
{
    const auto &format = *context_.protocols.directory;
    const std::string_view key = item.key;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            if (key == format.configurationKey()) {
                BOOST_LEAF_AUTO(configuration, format.decodeConfiguration(item.value));
                const auto version = configuration.tables->version;
                if (directory_.configurationRead(std::move(configuration))) {
                    directoryChanged_ = true;
                    configurationTakenAt_ = context_.clock->now();
                    spdlog::info("event=configuration_taken version={} revision={}", version,
                                 toString(item.modRevision));
                    logIgnoredTeams(*directory_.configuration());
                }
            } else if (key.starts_with(format.serversPrefix())) {
                const auto id = key.substr(format.serversPrefix().size());
                BOOST_LEAF_AUTO(server, format.decodeServer(id, item.value));
                if (directory_.serverSeen(server)) {
                    directoryChanged_ = true;
                    spdlog::info("event=server_entry server={} service={} address={}:{} "
                                 "primary={} leaving={} revision={}",
                                 logValue(server.id), logValue(server.service), server.host,
                                 server.port, server.primary, server.leaving,
                                 toString(item.modRevision));
                }
            } else if (key.starts_with(proxiesPrefix)) {
                // Any entry shows that the proxy lives, even one of a version without an address.
                const auto vm = key.substr(proxiesPrefix.size());
                directoryChanged_ =
                    directory_.proxySeen(decodeFleetEntry(vm, item.value)) || directoryChanged_;
            } else if (key.starts_with(suspicionsPrefix)) {
                const auto [service, vm] = parseSuspicionKey(key);
                directory_.suspicionSeen(service, vm, item.value);
                changedSuspicions_.emplace(service);
            } else if (key.starts_with(promotionsPrefix)) {
                BOOST_LEAF_AUTO(record, decodePromotion(item.value, item.modRevision));
                reportPromotion(directory_.promotionSeen(record));
            }
            invalidEntries_.remove(key);
            return {};
        },
        [&](const Failure &failure) { applyInvalidItem(item, failure.message); },
        [&] { applyInvalidItem(item, "unknown error"); });
}

void DirectoryActor::applyInvalidItem(const KeyValue &item, std::string_view reason)
{
    const std::string_view key = item.key;
    const auto prefix = context_.protocols.directory->serversPrefix();
    if (key.starts_with(prefix))
        directory_.serverInvalid(key.substr(prefix.size()));
    if (invalidEntries_.add(key)) {
        spdlog::warn("event=store_entry_ignored key={} revision={} reason={}", logValue(key),
                     toString(item.modRevision), logValue(reason));
    }
}

void DirectoryActor::applyRemoval(std::string_view key)
{
    const auto now = context_.clock->now();
    const auto prefix = context_.protocols.directory->serversPrefix();
    invalidEntries_.remove(key);
    if (key.starts_with(prefix)) {
        const auto id = key.substr(prefix.size());
        const bool removed = directory_.serverGone(id, now);
        spdlog::info("event=server_entry_removed server={} kept={}", logValue(id), !removed);
        directoryChanged_ = removed || directoryChanged_;
    } else if (key.starts_with(proxiesPrefix)) {
        const auto vm = key.substr(proxiesPrefix.size());
        directoryChanged_ = directory_.proxyGone(vm, now) || directoryChanged_;
        // The store may lose the key although its lease is still valid.
        if (vm == context_.self.vm && leaseHolds() && !leaving_) {
            spdlog::warn("event=fleet_entry_lost lease={}", lease_);
            writeFleetEntry();
        }
    } else if (key.starts_with(suspicionsPrefix)) {
        const auto [service, vm] = parseSuspicionKey(key);
        directory_.suspicionGone(service, vm);
        changedSuspicions_.emplace(service);
    } else if (key.starts_with(promotionsPrefix)) {
        const auto service = key.substr(promotionsPrefix.size());
        const StoreRevision absent(0, source_->revision().era());
        if (const auto *record = directory_.promotionGone(service, absent))
            reportPromotion(*record);
    }
}

/// Handles that the store has answered in \a era.
void DirectoryActor::noteEra(std::int64_t era)
{
    if (era <= era_)
        return;
    const auto previous = std::exchange(era_, era);
    if (!listed_)
        return;
    spdlog::warn("event=store_went_back era={} previous={} revision={}", era, previous,
                 toString(source_->revision()));
    // The copy may lack this proxy's lease and entry, or the lease may be granted to another proxy.
    const auto spread = static_cast<std::uint64_t>(context_.rejoinSpread.count());
    scheduleRenewal(Duration(rendezvousWeight("rejoin", context_.self.vm) % spread));
}

/// Passes on \a record, and has it written again if the store has lost it.
void DirectoryActor::reportPromotion(const PromotionRecord &record)
{
    self_->send(context_.groups, PromotionRecorded{record});
    scheduleRestoring();
}

void DirectoryActor::scheduleRestoring()
{
    if (restoring_ || directory_.lostPromotions().empty())
        return;
    restoring_ = true;
    self_->delayed_send(self_, context_.restoreInterval, RestorePromotions::value);
}

/// Writes the promotion records again that the store has lost: a proxy that starts later learns
/// from them what has been promoted. Each is written only over the record that the store holds.
void DirectoryActor::restorePromotions()
{
    for (const auto &record : directory_.lostPromotions()) {
        if (!directory_.witnessRole(record.service, context_.self.vm).witness)
            continue;
        spdlog::warn("event=promotion_record_restored service={} server={} number={} revision={}",
                     logValue(record.service), logValue(record.server), record.number,
                     toString(record.revision));
        auto call = context_.protocols.store->write(std::string(promotionsPrefix) + record.service,
                                                    encodePromotion(record), 0, record.revision);
        call.timeout = context_.callTimeout;
        this->call(
            context_.storeCaller, "restore", std::move(call),
            [this](const HttpResponse &response) {
                return context_.protocols.store->decodeWrite(response);
            },
            [](const StoreWrite &) {}, &DirectoryActor::restoreFailed);
    }
    scheduleRestoring();
}

/// Nothing to do: the records are written again until the store is known to hold them.
void DirectoryActor::restoreFailed() {}

void DirectoryActor::joinFleet()
{
    if (leaving_)
        return;
    auto call = context_.protocols.store->grantLease(context_.leaseDuration);
    call.timeout = context_.callTimeout;
    this->call(
        context_.storeCaller, "grant", std::move(call),
        [this](const HttpResponse &response) {
            return context_.protocols.store->decodeLease(response);
        },
        [this](std::uint64_t lease) {
            lease_ = lease;
            leaseEra_ = era_;
            writeFleetEntry();
        },
        &DirectoryActor::leaseFailed);
}

void DirectoryActor::writeFleetEntry()
{
    const auto key = std::string(proxiesPrefix) + context_.self.vm;
    auto call =
        context_.protocols.store->write(key, encodeFleetEntry(context_.self), lease_, std::nullopt);
    call.timeout = context_.callTimeout;
    this->call(
        context_.storeCaller, "write", std::move(call),
        [this](const HttpResponse &response) {
            return context_.protocols.store->decodeWrite(response);
        },
        [this](const StoreWrite &write) {
            if (!write.written)
                lease_ = 0;
            scheduleRenewal(write.written ? context_.leaseRenewal : context_.retryDelay);
        },
        &DirectoryActor::leaseFailed);
}

void DirectoryActor::renew()
{
    if (leaving_)
        return;
    auto call = context_.protocols.store->renewLease(lease_);
    call.timeout = context_.callTimeout;
    this->call(
        context_.storeCaller, "renew", std::move(call),
        [this](const HttpResponse &response) {
            return context_.protocols.store->decodeRenewal(response);
        },
        [this](bool renewed) {
            if (renewed) {
                scheduleRenewal(context_.leaseRenewal);
                return;
            }
            spdlog::warn("event=lease_lost lease={}", lease_);
            lease_ = 0;
            joinFleet();
        },
        &DirectoryActor::leaseFailed);
}

void DirectoryActor::leaseFailed()
{
    scheduleRenewal(context_.leaseRenewal / 2);
}

void DirectoryActor::scheduleRenewal(Duration delay)
{
    if (lease_ != 0 && !leaseHolds())
        delay = std::min(delay, context_.rejoinSpread);
    self_->delayed_send(self_, delay, RenewLease::value, ++renewalNumber_);
}

void DirectoryActor::leaveFleet()
{
    leaving_ = true;
    if (!leaseHolds())
        return;
    auto call = context_.protocols.store->endLease(std::exchange(lease_, 0));
    call.timeout = context_.callTimeout;
    // A failed call is not repeated: without renewal the lease expires by itself.
    const auto logOutcome = [](std::string_view outcome) {
        spdlog::info("event=fleet_left outcome={}", logValue(outcome));
    };
    self_->request(context_.storeCaller, 2 * context_.callTimeout, HttpCallRequest{std::move(call)})
        .then(
            [logOutcome](const HttpCallResult &result) {
                logOutcome(result.response.status == 0 ? result.error : "ended");
            },
            [this, logOutcome](const caf::error &error) {
                logOutcome(self_->system().render(error));
            });
}

void DirectoryActor::handleStoreFailure(std::string_view call, std::string_view error)
{
    spdlog::log(directory_.storeAvailable() ? spdlog::level::warn : spdlog::level::info,
                "event={} call={} error={}",
                directory_.storeAvailable() ? "store_lost" : "store_call_failed", logValue(call),
                logValue(error));
    directory_.storeFailed(context_.clock->now());
}

void DirectoryActor::handleStoreAnswer()
{
    if (!directory_.storeAvailable())
        spdlog::info("event=store_regained");
    lastAnswerAt_ = context_.clock->now();
    directory_.storeAnswered(lastAnswerAt_);
}

/// Sends the groups what has changed, once a whole answer of the store was applied: otherwise a
/// suspicion that is read before the promotion it has caused could cause another promotion.
void DirectoryActor::publish()
{
    if (std::exchange(directoryChanged_, false))
        publishDirectory();
    for (const auto &service : std::exchange(changedSuspicions_, {}))
        publishSuspicions(service);
    // The choice of watchers depends on the proxies of the fleet.
    reviewSource();
}

void DirectoryActor::publishDirectory()
{
    DirectoryChanged message;
    if (directory_.configuration())
        message.configuration =
            std::make_shared<const OperatorConfiguration>(*directory_.configuration());
    message.servers = std::make_shared<const std::vector<ServerRegistration>>(directory_.servers());
    message.proxies = std::max<std::size_t>(directory_.proxyCount(), 1);
    for (const auto &service : directory_.services())
        message.roles.emplace(service, directory_.witnessRole(service, context_.self.vm));
    self_->send(context_.groups, std::move(message));
    auto proxies = directory_.proxies();
    source_->setMembers(proxies, context_.clock->now());
    self_->send(context_.quotas, FleetChanged{proxies});
    self_->send(context_.exchange, FleetChanged{std::move(proxies)});
    publishQuotas();
    // Repeated for groups that have just started and haven't received earlier promotions.
    for (auto &record : directory_.promotions())
        self_->send(context_.groups, PromotionRecorded{std::move(record)});
    // The choice of witnesses depends on the proxies of the fleet, which may have changed.
    changedSuspicions_.merge(directory_.services());
}

void DirectoryActor::publishQuotas()
{
    const auto &configuration = directory_.configuration();
    if (!configuration || !configuration->tables->teams)
        return;
    QuotasChanged message;
    for (const auto &team : configuration->tables->teams->teams()) {
        if (team.quota)
            message.quotas.emplace(team.name, *team.quota);
    }
    self_->send(context_.quotas, std::move(message));
}

void DirectoryActor::publishSuspicions(std::string_view service)
{
    SuspicionsChanged message;
    message.service = service;
    message.servers = directory_.suspicions(service, context_.self.vm);
    message.role = directory_.witnessRole(service, context_.self.vm);
    self_->send(context_.groups, std::move(message));
}

void DirectoryActor::reportSuspicion(const ReportSuspicion &message)
{
    const auto key = suspicionKey(message.service, context_.self.vm);
    auto call = message.suspected
                    ? context_.protocols.store->write(key, message.server, lease_, std::nullopt)
                    : context_.protocols.store->remove(key);
    call.timeout = context_.callTimeout;
    this->call(
        context_.storeCaller, "suspicion", std::move(call),
        [this](const HttpResponse &response) {
            return context_.protocols.store->decodeWrite(response);
        },
        [](const StoreWrite &) {}, &DirectoryActor::suspicionWriteFailed);
}

/// Nothing to do: the group repeats its report while the suspicion lasts.
void DirectoryActor::suspicionWriteFailed() {}

void DirectoryActor::scheduleExpiry()
{
    if (expiryScheduled_ || directory_.heldCount() == 0)
        return;
    expiryScheduled_ = true;
    self_->delayed_send(self_, expiryInterval, ExpireEntries::value);
}

MetricsText DirectoryActor::metrics() const
{
    const auto ageMs = [now = context_.clock->now()](TimePoint time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    };
    const auto &configuration = directory_.configuration();
    std::string calls;
    for (const auto &[kind, count] : storeCalls_) {
        calls += metricText("shallotwalk_store_calls_total", "counter",
                            "Calls to the platform's store.", count, "kind=\"" + kind + "\"");
    }
    return {calls
            + metricText("shallotwalk_store_watching", "gauge",
                         "Whether this proxy watches the store, rather than asking one that does.",
                         watching_ ? 1 : 0)
            + metricText("shallotwalk_store_available", "gauge", "Whether the last call succeeded.",
                         directory_.storeAvailable() ? 1 : 0)
            + metricText("shallotwalk_directory_age_ms", "gauge",
                         "Since the store confirmed the list of servers.", ageMs(lastAnswerAt_))
            + metricText("shallotwalk_configuration_version", "gauge",
                         "Version of the configuration in force.",
                         configuration ? configuration->tables->version : 0)
            + metricText("shallotwalk_configuration_age_ms", "gauge",
                         "Since this proxy took that version.", ageMs(configurationTakenAt_))
            + metricText("shallotwalk_invalid_entries", "gauge",
                         "Entries of the store that can't be decoded.", invalidEntries_.size())
            + metricText("shallotwalk_held_entries", "gauge",
                         "Servers and proxies kept although the store has lost their entries.",
                         directory_.heldCount())};
}

StateDump DirectoryActor::dump() const
{
    return {boost::json::object{
        {"revision", toString(source_->revision())},
        {"era", era_},
        {"watchesStore", watching_},
        {"watcher", source_->watcher()},
        {"storeAvailable", directory_.storeAvailable()},
        {"servers", directory_.servers().size()},
        {"heldEntries", directory_.heldCount()},
        {"badEntries", invalidEntries_.size()},
        {"proxies", directory_.proxyCount()},
        {"configuration",
         directory_.configuration() ? directory_.configuration()->tables->version : 0},
    }};
}

} // namespace shallotwalk
