#pragma once

#include <boost/json/value.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace shallotwalk {

/// The object in \a value, or an empty one. Thread-safe.
const boost::json::object &objectOf(const boost::json::value &value);

/// The member \a key as text, "-" if there is none. Thread-safe.
std::string textOf(const boost::json::object &object, std::string_view key);

/// Calls \a visit for each object of a state dump that has all \a keys, at any depth.
void visitObjects(const boost::json::value &dump, std::initializer_list<std::string_view> keys,
                  const std::function<void(const boost::json::object &)> &visit);

/// Calls \a visit for the state of each database that a proxy owns or is a candidate for.
void visitDatabases(const boost::json::value &dump,
                    const std::function<void(const boost::json::object &)> &visit);

} // namespace shallotwalk
