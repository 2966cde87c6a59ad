#pragma once

/// \file
/// Public header of the HTTP server library: listener, connections and the service that they call.

#include "httpserver/httpconnection.h"
#include "httpserver/httplistener.h"
#include "httpserver/httpservice.h"
#include "httpserver/messages.h"
#include "httpserver/metricscollection.h"
