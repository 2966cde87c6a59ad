#pragma once

#include "httpserver/httpservice.h"

#include <memory>

namespace shallotwalk {

/// Serves callers: decodes their statements and passes them to the dispatcher.
class CallerService : public HttpService
{
public:
    /// \a dispatcher takes DispatchStatement.
    CallerService(caf::actor dispatcher, std::shared_ptr<const Clock> clock,
                  std::shared_ptr<const SessionCodec> sessions);

    void serve(const HttpRequest &request, std::string_view requestId, caf::io::broker &connection,
               Respond respond) const override;

private:
    void dispatch(StatementRequest statement, caf::io::broker &connection, Respond respond) const;

    caf::actor dispatcher_;
    std::shared_ptr<const Clock> clock_;
    std::shared_ptr<const SessionCodec> sessions_;
};

} // namespace shallotwalk
