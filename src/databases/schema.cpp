#include "databases/schema.h"

#include <boost/leaf/handle_errors.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <ctime>

namespace shallotwalk {

namespace leaf = boost::leaf;

namespace {

using Values = std::vector<std::optional<std::string>>;

constexpr std::int64_t requestRetentionSeconds = std::int64_t{48} * 3600;
constexpr std::string_view undefinedTable = "42P01";

constexpr std::string_view createRequests =
    "CREATE TABLE IF NOT EXISTS shallotwalk_requests(request_key text PRIMARY KEY, "
    "body_hash text NOT NULL, created_at bigint NOT NULL, response text)";
constexpr std::string_view createTerms =
    "CREATE TABLE IF NOT EXISTS shallotwalk_terms(term bigint PRIMARY KEY, "
    "fork_position bigint NOT NULL, epoch bigint NOT NULL, attempt bigint NOT NULL)";

// Functions that exist only on a primary or only on a replica are guarded by CASE.
constexpr std::string_view sampleStatement =
    "SELECT CASE WHEN pg_is_in_recovery() THEN 'replica' ELSE 'primary' END, "
    "CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_walfile_name(pg_current_wal_lsn()) END, "
    "CASE WHEN pg_is_in_recovery() THEN NULL ELSE pg_current_wal_lsn() END, "
    "pg_last_wal_receive_lsn(), pg_last_wal_replay_lsn(), pg_last_xact_replay_timestamp(), now(), "
    "(SELECT timeline_id FROM pg_control_checkpoint()), "
    "(SELECT received_tli FROM pg_stat_wal_receiver), "
    "(SELECT status FROM pg_stat_wal_receiver), "
    "(SELECT last_msg_receipt_time FROM pg_stat_wal_receiver)";

constexpr std::string_view servedStatement =
    "SELECT epoch, attempt, term FROM shallotwalk_terms ORDER BY epoch DESC, attempt DESC LIMIT 1";
// One statement tests and promotes, so that an order which is delayed has no effect on a server
// that has received more meanwhile. After a restart the receiver's position can be lower than what
// was replayed; the sample takes the higher one, too.
constexpr std::string_view promoteStatement =
    "SELECT CASE WHEN pg_is_in_recovery() AND CAST(CASE WHEN pg_last_wal_receive_lsn() IS NULL OR "
    "CAST(pg_wal_lsn_diff(pg_last_wal_replay_lsn(), pg_last_wal_receive_lsn()) AS bigint) > 0 "
    "THEN pg_last_wal_replay_lsn() ELSE pg_last_wal_receive_lsn() END AS text) = $1 "
    "THEN CAST(pg_promote(false) AS text) ELSE 'moved on' END";

/// Columns of sampleStatement.
enum SampleColumn {
    Role,
    WalFileName,
    CurrentLsn,
    ReceivedLsn,
    ReplayedLsn,
    LastReplayTime,
    Now,
    CheckpointTimeline,
    ReceiverTimeline,
    ReceiverStatus,
    ReceiverTime,
    SampleColumnCount,
};

leaf::error_id unexpected(const std::string &what)
{
    return leaf::new_error(Failure{ErrorCode::Internal, Verdict::MayHaveRun, what});
}

template<class Number>
std::optional<Number> numberFrom(std::string_view text, int base = 10)
{
    Number number{};
    const auto *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number, base);
    if (error != std::errc() || end != last || text.empty())
        return std::nullopt;
    return number;
}

/// Time from \a earlier to \a later, not negative; empty if one of them is unknown.
std::optional<Duration> timeBetween(const std::optional<std::string> &earlier,
                                    const std::optional<std::string> &later)
{
    const auto begin = unixMicroseconds(earlier.value_or(""));
    const auto end = unixMicroseconds(later.value_or(""));
    if (!begin || !end)
        return std::nullopt;
    return std::max(Duration(0), Duration(*end - *begin));
}

Result<ServerSample> primarySample(const Values &row)
{
    const auto term = termFromWalFileName(row[WalFileName].value_or(""));
    const auto lsn = lsnFromText(row[CurrentLsn].value_or(""));
    if (!term || !lsn)
        return unexpected("the primary's position can't be read");
    ServerSample sample;
    sample.status.reachable = true;
    sample.status.inRecovery = false;
    sample.status.received = {*term, *lsn};
    sample.status.replayed = sample.status.received;
    sample.status.lag = Duration(0);
    sample.status.forkLsn = lsnFromText(row[ReplayedLsn].value_or(""));
    return sample;
}

Result<ServerSample> replicaSample(const Values &row, Duration contactTime)
{
    const auto replayed = lsnFromText(row[ReplayedLsn].value_or(""));
    if (!replayed)
        return unexpected("the replica's position can't be read");
    const auto received =
        std::max(lsnFromText(row[ReceivedLsn].value_or("")).value_or(0), *replayed);
    const auto term = std::max(numberFrom<Term>(row[CheckpointTimeline].value_or("")).value_or(0),
                               numberFrom<Term>(row[ReceiverTimeline].value_or("")).value_or(0));
    ServerSample sample;
    sample.status.reachable = true;
    sample.status.received = {term, received};
    sample.status.replayed = {term, *replayed};
    if (row[ReceiverStatus] == "streaming")
        sample.receiverMessageAge = timeBetween(row[ReceiverTime], row[Now]);
    sample.status.walReceiverContact =
        sample.receiverMessageAge && *sample.receiverMessageAge <= contactTime;
    // With all received data replayed, the replica is as fresh as the primary's last message.
    sample.status.lag = received == *replayed ? sample.receiverMessageAge
                                              : timeBetween(row[LastReplayTime], row[Now]);
    return sample;
}

} // namespace

std::optional<Term> termFromWalFileName(std::string_view name)
{
    return name.size() == 24 ? numberFrom<Term>(name.substr(0, 8), 16) : std::nullopt;
}

std::optional<LogPosition> lsnFromText(std::string_view text)
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const auto high = numberFrom<std::uint32_t>(text.substr(0, slash), 16);
    const auto low = numberFrom<std::uint32_t>(text.substr(slash + 1), 16);
    if (!high || !low)
        return std::nullopt;
    return static_cast<LogPosition>(*high) << 32 | *low;
}

std::string lsnToText(LogPosition position)
{
    return fmt::format("{:X}/{:X}", position >> 32, position & 0xffffffffU);
}

std::optional<std::int64_t> unixMicroseconds(std::string_view timestamp)
{
    constexpr std::size_t secondsLength = 19;
    if (timestamp.size() < secondsLength + 3 || !timestamp.ends_with("+00"))
        return std::nullopt;
    std::tm parts{};
    const std::string text(timestamp.substr(0, secondsLength));
    if (strptime(text.c_str(), "%Y-%m-%d %H:%M:%S", &parts) == nullptr)
        return std::nullopt;
    auto fraction = std::string(timestamp.substr(secondsLength));
    fraction.resize(fraction.size() - 3);
    if (!fraction.empty())
        fraction.erase(0, 1);
    fraction.resize(6, '0');
    const auto microseconds = numberFrom<std::int64_t>(fraction);
    if (!microseconds)
        return std::nullopt;
    return static_cast<std::int64_t>(timegm(&parts)) * 1000000 + *microseconds;
}

std::int64_t purgeLimit(std::int64_t unixTime)
{
    return unixTime - requestRetentionSeconds;
}

std::optional<Epoch> epochFromApplicationName(std::string_view name, std::string_view pool)
{
    const auto prefix = "shallotwalk/" + std::string(pool) + "/";
    if (!name.starts_with(prefix))
        return std::nullopt;
    return numberFrom<Epoch>(name.substr(prefix.size()));
}

Result<void> Schema::create(TimePoint deadline)
{
    BOOST_LEAF_CHECK(connection_.execute(createRequests, {}, deadline));
    BOOST_LEAF_CHECK(connection_.execute(createTerms, {}, deadline));
    return {};
}

Result<std::int64_t> Schema::purgeRequests(std::int64_t unixTime, TimePoint deadline)
{
    const Values parameters{std::to_string(purgeLimit(unixTime))};
    BOOST_LEAF_AUTO(result, connection_.execute(sql::purgeRequests, parameters, deadline));
    return result.affectedRows;
}

Result<std::vector<TermRow>> Schema::terms(TimePoint deadline)
{
    return leaf::try_handle_some(
        [&]() -> Result<std::vector<TermRow>> {
            BOOST_LEAF_AUTO(result,
                            connection_.execute("SELECT term, fork_position, epoch, attempt FROM "
                                                "shallotwalk_terms "
                                                "ORDER BY term",
                                                {}, deadline));
            std::vector<TermRow> terms;
            for (const auto &row : result.rows) {
                const auto term = numberFrom<Term>(row.at(0).value_or(""));
                const auto fork = numberFrom<LogPosition>(row.at(1).value_or(""));
                const auto epoch = numberFrom<Epoch>(row.at(2).value_or(""));
                const auto attempt = numberFrom<std::uint32_t>(row.at(3).value_or(""));
                if (!term || !fork || !epoch || !attempt)
                    return unexpected("a row of shallotwalk_terms can't be read");
                terms.push_back({*term, *fork, {*epoch, *attempt}});
            }
            return terms;
        },
        [](const SqlState &state, const leaf::error_info &error) -> Result<std::vector<TermRow>> {
            if (state.code == undefinedTable)
                return std::vector<TermRow>();
            return error.error();
        });
}

Result<void> Schema::insertTerm(const TermRow &row, TimePoint deadline)
{
    const Values parameters{std::to_string(row.term), std::to_string(row.fork),
                            std::to_string(row.period.epoch), std::to_string(row.period.attempt)};
    BOOST_LEAF_CHECK(
        connection_.execute("INSERT INTO shallotwalk_terms(term, fork_position, epoch, attempt) "
                            "VALUES ($1, $2, $3, $4) ON CONFLICT (term) DO UPDATE "
                            "SET epoch = excluded.epoch, attempt = excluded.attempt "
                            "WHERE shallotwalk_terms.epoch < excluded.epoch "
                            "OR (shallotwalk_terms.epoch = excluded.epoch "
                            "AND shallotwalk_terms.attempt < excluded.attempt)",
                            parameters, deadline));
    return {};
}

Result<std::size_t> Schema::terminateLowerEpochs(std::string_view pool, Epoch epoch,
                                                 TimePoint deadline)
{
    BOOST_LEAF_AUTO(result, connection_.execute("SELECT pid, application_name FROM "
                                                "pg_stat_activity WHERE application_name LIKE "
                                                "'shallotwalk/%' AND pid <> pg_backend_pid()",
                                                {}, deadline));
    std::size_t count = 0;
    for (const auto &row : result.rows) {
        const auto found = epochFromApplicationName(row.at(1).value_or(""), pool);
        if (!found || *found >= epoch)
            continue;
        ++count;
        const Values parameters{row.at(0)};
        BOOST_LEAF_CHECK(
            connection_.execute("SELECT pg_terminate_backend($1, 1000)", parameters, deadline));
    }
    return count;
}

Result<ServerSample> Schema::sample(Duration contactTime, TimePoint deadline)
{
    BOOST_LEAF_AUTO(result, connection_.execute(sampleStatement, {}, deadline));
    if (result.rows.size() != 1 || result.rows[0].size() != SampleColumnCount)
        return unexpected("unexpected answer to the sample");
    const auto &row = result.rows[0];
    BOOST_LEAF_AUTO(sample,
                    row[Role] == "primary" ? primarySample(row) : replicaSample(row, contactTime));
    BOOST_LEAF_CHECK(sampleServed(sample.status, deadline));
    return sample;
}

Result<void> Schema::sampleServed(ServerStatus &status, TimePoint deadline)
{
    return leaf::try_handle_some(
        [&]() -> Result<void> {
            BOOST_LEAF_AUTO(result, connection_.execute(servedStatement, {}, deadline));
            if (result.rows.empty())
                return {};
            const auto epoch = numberFrom<Epoch>(result.rows[0].at(0).value_or(""));
            const auto attempt = numberFrom<std::uint32_t>(result.rows[0].at(1).value_or(""));
            const auto term = numberFrom<Term>(result.rows[0].at(2).value_or(""));
            if (!epoch || !attempt || !term)
                return unexpected("a row of shallotwalk_terms can't be read");
            status.servedPeriod = {*epoch, *attempt};
            status.servedTerm = *term;
            return {};
        },
        [](const SqlState &state, const leaf::error_info &error) -> Result<void> {
            if (state.code == undefinedTable)
                return {};
            return error.error();
        });
}

Result<bool> Schema::promote(LogPosition expected, TimePoint deadline)
{
    const Values parameters{lsnToText(expected)};
    BOOST_LEAF_AUTO(result, connection_.execute(promoteStatement, parameters, deadline));
    return result.rows.size() == 1 && result.rows[0].at(0) != "moved on";
}

} // namespace shallotwalk
