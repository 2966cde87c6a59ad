#pragma once

/// \file
/// The Clock is part of the wire library, which must not depend on supervision.

#include "wire/clock.h"
