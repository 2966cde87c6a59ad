#pragma once

#include <compare>
#include <cstdint>

namespace shallotwalk {

/// A database group's term (the timeline of a PostgreSQL server). Each promotion raises it.
using Term = std::uint32_t;

/// A byte position in the write-ahead log of one term.
using LogPosition = std::uint64_t;

/// Counts the owners of one database. Each compare-and-swap on its record raises it.
using Epoch = std::uint64_t;

/// A log position together with the term that it belongs to.
struct Position
{
    Term term = 0;
    LogPosition lsn = 0;

    auto operator<=>(const Position &) const = default;
};

/// Identifies one period in which a server serves as primary: each time an owner begins or resumes
/// service it counts a new attempt. Unlike a term, which two servers may take independently, it is
/// unique to one server.
struct ServicePeriod
{
    Epoch epoch = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const ServicePeriod &) const = default;
};

} // namespace shallotwalk
