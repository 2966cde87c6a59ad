#pragma once

#include "core/tables.h"

#include <vector>

namespace shallotwalk {

/// The rules of validate() that concern a single row: names, limits and ranges. Thread-safe.
std::vector<TableProblem> validateRows(const Tables &tables);

/// The rules of validate() that concern several rows: unique names and references. Thread-safe.
std::vector<TableProblem> validateReferences(const Tables &tables);

} // namespace shallotwalk
