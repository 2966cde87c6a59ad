#pragma once

/// \file
/// Public header of the registry library: the key-value service and the list of VMs.

#include "registry/messages.h"
#include "registry/registrysupervisor.h"
#include "registry/storeclient.h"
#include "registry/storewatcher.h"
#include "registry/vmlistpoller.h"
