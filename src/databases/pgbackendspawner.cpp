#include "databases/pgbackendspawner.h"

#include "databases/backendconnection.h"
#include "databases/servermonitor.h"

namespace shallotwalk {

namespace {

SqlTarget targetOf(const Pool &pool, const BackendServer &server, Epoch epoch)
{
    SqlTarget target;
    target.host = server.host;
    target.port = server.port;
    target.databaseName = pool.databaseName;
    target.user = pool.user;
    target.applicationName = applicationName(pool.name, epoch);
    return target;
}

} // namespace

PgBackendSpawner::PgBackendSpawner(std::shared_ptr<const Clock> clock, std::size_t resultBytes)
    : clock_(std::move(clock))
    , connector_(std::make_shared<PgConnector>(*clock_))
    , resultBytes_(resultBytes)
{
}

caf::actor PgBackendSpawner::spawnConnection(caf::event_based_actor *parent, const Pool &pool,
                                             const BackendServer &server, Epoch epoch,
                                             ConnectionId id,
                                             std::shared_ptr<const Interrupt> interrupt)
{
    BackendConnectionSettings settings;
    settings.id = id;
    settings.vm = server.vm;
    settings.target = targetOf(pool, server, epoch);
    settings.target.resultBytes = resultBytes_;
    return parent->spawn<BackendConnection, caf::detached>(
        std::move(settings), connector_, clock_, caf::actor(parent), std::move(interrupt));
}

caf::actor PgBackendSpawner::spawnMonitor(caf::event_based_actor *parent, const Pool &pool,
                                          const BackendServer &server, Epoch epoch)
{
    ServerMonitorSettings settings;
    settings.vm = server.vm;
    settings.pool = pool.name;
    settings.target = targetOf(pool, server, epoch);
    settings.epoch = epoch;
    return parent->spawn<ServerMonitor, caf::detached>(std::move(settings), connector_, clock_,
                                                       caf::actor(parent));
}

} // namespace shallotwalk
