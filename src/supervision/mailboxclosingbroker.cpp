#include "supervision/mailboxclosingbroker.h"

namespace shallotwalk {

bool MailboxClosingBroker::cleanup(caf::error &&reason, caf::execution_unit *host)
{
    close_all();
    // Skips abstract_broker::cleanup(), which leaves the mailbox open.
    // NOLINTNEXTLINE(bugprone-parent-virtual-call)
    return caf::scheduled_actor::cleanup(std::move(reason), host);
}

} // namespace shallotwalk
