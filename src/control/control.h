#pragma once

/// \file
/// Public header of the operators' command: its options, its HTTP calls and its output.

#include "control/controlclient.h"
#include "control/controlcommand.h"
#include "control/controloptions.h"
#include "control/fleetreport.h"
#include "control/logstory.h"
#include "control/statedump.h"
