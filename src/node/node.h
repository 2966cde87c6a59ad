#pragma once

/// \file
/// Public header of the node library: everything that a proxy process consists of.

#include "node/listencheck.h"
#include "node/logging.h"
#include "node/nodeactor.h"
#include "node/rootsupervisor.h"
#include "node/settings.h"
#include "supervision/processsignals.h"
