#pragma once

/// \file
/// Public header of the feed library: owner records and the list of VMs, from the store or from a
/// watcher of the data centre.

#include "feed/feedactor.h"
#include "feed/feedsupervisor.h"
