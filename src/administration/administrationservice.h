#pragma once

#include "frontend/frontend.h"
#include "httpserver/httpserver.h"
#include "supervision/messages.h"

#include <memory>
#include <string>
#include <vector>

namespace shallotwalk {

/// What the administration API needs from the rest of the process.
struct AdministrationContext
{
    caf::actor lifecycle;            ///< Takes ReadinessRequest and ShutdownRequest.
    caf::actor configuration;        ///< Takes ApplyTables and CurrentTablesRequest.
    caf::actor root;                 ///< Takes StateDumpRequest for the whole process.
    std::vector<caf::actor> metrics; ///< Each takes MetricsRequest.
    std::string operatorsKey;        ///< Sent by operators as a bearer token; not empty.
};

/// Serves operators on an address of its own: health, readiness, metrics, state dump, the two
/// tables and the drain. Health, readiness and metrics need no key; see docs/api.md.
class AdministrationService : public HttpService
{
public:
    explicit AdministrationService(AdministrationContext context);

    void serve(const HttpRequest &request, std::string_view requestId, caf::io::broker &connection,
               Respond respond) const override;

private:
    bool isAuthorised(const HttpRequest &request) const;
    void serveOpen(const HttpRequest &request, std::string_view path, caf::io::broker &connection,
                   Respond respond) const;
    void serveAuthorised(const HttpRequest &request, std::string_view path,
                         caf::io::broker &connection, Respond respond) const;
    void readTables(caf::io::broker &connection, Respond respond) const;
    void applyTables(const HttpRequest &request, caf::io::broker &connection,
                     Respond respond) const;

    AdministrationContext context_;
};

} // namespace shallotwalk
