#pragma once

/// \file
/// Public header of the supervision library: the supervisor actor, the clock of the actors, the
/// messages that every actor understands, logging and process signals.

#include "supervision/clock.h"
#include "supervision/jsonlogformatter.h"
#include "supervision/logvalue.h"
#include "supervision/mailboxclosingbroker.h"
#include "supervision/messages.h"
#include "supervision/metricstext.h"
#include "supervision/processsignals.h"
#include "supervision/ratelimitsink.h"
#include "supervision/relay.h"
#include "supervision/subscribers.h"
#include "supervision/supervisor.h"
