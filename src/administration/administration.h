#pragma once

/// \file
/// Public header of the administration API.

#include "administration/administrationservice.h"
