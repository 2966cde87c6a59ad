#include "gateway/quotaactor.h"

#include <boost/leaf/handle_errors.hpp>

#include <spdlog/spdlog.h>

#include <cerrno>

namespace shallotwalk {

namespace {

using TimerExpired = caf::atom_constant<caf::atom("tick")>;
using OpenSocket = caf::atom_constant<caf::atom("open")>;

/// Resolution of the timer.
constexpr Duration shortestDelay = std::chrono::milliseconds(1);

} // namespace

caf::behavior QuotaActor::run(Broker *self, QuotaContext context)
{
    return self->state.start(std::move(context));
}

caf::behavior QuotaActor::start(QuotaContext context)
{
    context_ = std::move(context);
    const auto &vm = context_.self.vm;
    client_.emplace(vm, context_.incarnation, context_.clock->now(), context_.quotas);
    allocator_.emplace(vm, context_.incarnation, context_.quotas);
    if (context_.self.quotaPort != 0)
        openSocket();
    self_->send(context_.sessions, AdmissionsLost{});
    self_->send(context_.directory, DirectoryRequest{});
    return {
        [this](const AdmitOperation &message) { admit(message); },
        [this](const FleetChanged &message) { setMembers(message); },
        [this](const QuotasChanged &message) {
            limitedTeams_ = message.quotas.size();
            allocator_->setQuotas(message.quotas);
            sendDue();
        },
        [this](const DatagramReceived &message) { handleDatagram(message); },
        [this](TimerExpired) {
            timerDueAt_ = TimePoint::max();
            sendDue();
        },
        [this](OpenSocket) { openSocket(); },
        [this](LeaveFleet) { allocator_->resign(); },
        [this](DrainRequest) { self_->quit(); },
        [this](StateDumpRequest) { return dump(); },
        [this](MetricsRequest) { return metrics(); },
    };
}

void QuotaActor::admit(const AdmitOperation &message)
{
    auto session = caf::actor_cast<caf::actor>(self_->current_sender());
    const auto verdict = client_->admit(message.number, message.team, context_.clock->now());
    if (verdict) {
        self_->send(session, OperationAdmitted{message.number, *verdict});
        return;
    }
    waiting_.emplace(message.number, std::move(session));
    sendDue();
}

/// Proxies without a port for quotas hold no shares of them.
void QuotaActor::setMembers(const FleetChanged &message)
{
    members_.clear();
    std::vector<std::string> names;
    for (const auto &member : message.members) {
        if (member.quotaPort == 0)
            continue;
        names.push_back(member.vm);
        if (member.vm != context_.self.vm)
            members_.insert_or_assign(member.vm, member);
    }
    client_->setMembers(names, context_.clock->now());
    sendDue();
}

void QuotaActor::openSocket()
{
    const auto &address = context_.self;
    socket_ = DatagramSocket::open(self_->system(), address.host, address.quotaPort, maxQuotaBytes,
                                   caf::actor_cast<caf::actor>(self_));
    if (socket_) {
        spdlog::info("event=listening listener=quotas address={}:{}", address.host,
                     address.quotaPort);
        return;
    }
    spdlog::error("event=listen_failed listener=quotas address={}:{} errno={}", address.host,
                  address.quotaPort, errno);
    self_->delayed_send(self_, context_.reopenDelay, OpenSocket::value);
}

void QuotaActor::handleDatagram(const DatagramReceived &datagram)
{
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(message, decodeQuotaMessage(datagram.bytes));
            const auto &sender =
                std::visit([](const auto &content) { return content.sender; }, message);
            const auto member = members_.find(sender);
            if (member == members_.end() || member->second.host != datagram.host) {
                ++rejected_;
                return {};
            }
            std::visit([this](const auto &content) { handle(content); }, message);
            return {};
        },
        [&](const Failure &failure) {
            if (rejected_++ == 0) {
                spdlog::warn("event=quota_message_malformed host={} reason={}", datagram.host,
                             logValue(failure.message));
            }
        },
        [&] { ++rejected_; });
    sendDue();
}

void QuotaActor::handle(const QuotaRequest &request)
{
    if (auto reply = allocator_->receive(request, context_.clock->now()))
        send(request.sender, *reply);
}

void QuotaActor::handle(const QuotaReply &reply)
{
    deliver(client_->receive(reply, context_.clock->now()));
}

void QuotaActor::deliver(std::span<const QuotaDecision> decisions)
{
    for (const auto &decision : decisions) {
        const auto waiting = waiting_.extract(decision.operation);
        if (!waiting.empty())
            self_->send(waiting.mapped(), OperationAdmitted{decision.operation, decision.verdict});
    }
}

/// Sends the requests that are due, refuses the operations that have waited for too long, and sets
/// the timer. Without quotas nothing is due.
void QuotaActor::sendDue()
{
    if (limitedTeams_ == 0 && waiting_.empty())
        return;
    const auto now = context_.clock->now();
    deliver(client_->expire(now));
    for (const auto &[allocator, request] : client_->takeRequests(now))
        send(allocator, request);
    // A later timer that is still pending isn't cancelled: it only causes one extra call.
    const auto due = std::max(client_->nextDue(), now + shortestDelay);
    if (due < timerDueAt_) {
        timerDueAt_ = due;
        self_->delayed_send(self_, due - now, TimerExpired::value);
    }
}

void QuotaActor::send(const std::string &vm, const QuotaMessage &message)
{
    if (vm == context_.self.vm) {
        std::visit([this](const auto &content) { handle(content); }, message);
        return;
    }
    const auto member = members_.find(vm);
    if (member == members_.end())
        return;
    boost::leaf::try_handle_all(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(bytes, encodeQuotaMessage(message));
            if (!socket_ || !socket_->send(member->second.host, member->second.quotaPort, bytes))
                ++unsent_;
            return {};
        },
        [&](const Failure &failure) {
            ++unsent_;
            spdlog::warn("event=quota_message_not_encoded vm={} reason={}", logValue(vm),
                         logValue(failure.message));
        },
        [&] { ++unsent_; });
}

StateDump QuotaActor::dump() const
{
    boost::json::array allocators;
    for (const auto &allocator : client_->allocators())
        allocators.emplace_back(allocator);
    const auto &counters = client_->counters();
    return {boost::json::object{{"listening", socket_ != nullptr},
                                {"limitedTeams", limitedTeams_},
                                {"allocators", std::move(allocators)},
                                {"waiting", waiting_.size()},
                                {"admitted", counters.admitted},
                                {"exceeded", counters.exceeded},
                                {"unreachable", counters.unreachable},
                                {"delegations", allocator_->delegations()},
                                {"activeTeams", allocator_->activeTeams()},
                                {"rejected", rejected_},
                                {"unsent", unsent_}}};
}

MetricsText QuotaActor::metrics() const
{
    const auto &counters = client_->counters();
    return {metricText("shallotwalk_quota_admitted_total", "counter",
                       "Operations of limited teams that were admitted.", counters.admitted)
            + metricText("shallotwalk_quota_exceeded_total", "counter",
                         "Operations refused because a quota was used up.", counters.exceeded)
            + metricText("shallotwalk_quota_unreachable_total", "counter",
                         "Operations refused because no allocator of the quota answered.",
                         counters.unreachable)
            + metricText("shallotwalk_quota_requests_total", "counter",
                         "Requests to the allocators of quotas.", counters.requests)
            + metricText("shallotwalk_quota_tokens_expired_total", "counter",
                         "Tokens that expired unused.", counters.expired)
            + metricText("shallotwalk_quota_teams", "gauge",
                         "Teams whose quota this proxy has allocated lately.",
                         allocator_->activeTeams())
            + metricText("shallotwalk_quota_rejected_total", "counter",
                         "Datagrams that are no message of a proxy of the fleet.", rejected_)
            + metricText("shallotwalk_quota_unsent_total", "counter",
                         "Messages that the system did not take.", unsent_)};
}

} // namespace shallotwalk
