#pragma once

/// \file
/// Public header of the front end: the callers' service and the dispatcher.

#include "frontend/callerservice.h"
#include "frontend/dispatcher.h"
#include "frontend/messages.h"
#include "httpserver/httpserver.h"
