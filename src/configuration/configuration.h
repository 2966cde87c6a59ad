#pragma once

/// \file
/// Public header of the configuration library: versions of the two tables and their spread.

#include "configuration/configurationactor.h"
#include "configuration/messages.h"
#include "configuration/peerbridge.h"
