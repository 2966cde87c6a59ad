#pragma once

/// \file
/// Public header of the core library: types and decisions without sockets, threads, clocks or
/// codecs. Each class takes the time and its events as arguments and returns the actions to take.

#include "core/admissionpolicy.h"
#include "core/failure.h"
#include "core/fifopolicy.h"
#include "core/lease.h"
#include "core/ownerrecord.h"
#include "core/ownershipactions.h"
#include "core/ownershipmachine.h"
#include "core/ownershipsettings.h"
#include "core/position.h"
#include "core/primaryonlypolicy.h"
#include "core/promise.h"
#include "core/promisetable.h"
#include "core/replicapolicy.h"
#include "core/router.h"
#include "core/serverstatus.h"
#include "core/sessionstate.h"
#include "core/statement.h"
#include "core/tables.h"
#include "core/time.h"
#include "core/verdict.h"
