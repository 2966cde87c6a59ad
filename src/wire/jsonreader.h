#pragma once

#include "core/failure.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// A value of a JSON document that breaks a rule.
struct JsonProblem
{
    std::string path; ///< For example "listen.callers.port"; empty for the whole document.
    std::string message;
};

/// Where and why a text is not JSON.
struct JsonSyntaxError
{
    std::size_t line = 1;   ///< Counted from 1.
    std::size_t column = 1; ///< In bytes, counted from 1.
    std::string message;
};

/// A parsed document, or the reason why there is none.
struct JsonParsing
{
    boost::json::value value;
    std::optional<JsonSyntaxError> error;
};

/// Parses JSON with comments. Thread-safe.
JsonParsing parseJson(std::string_view text);

/// Parses JSON of another program, whose strings may hold bytes that are not UTF-8. Thread-safe.
JsonParsing parseForeignJson(std::string_view text);

/// As parseJson(), for callers that pass the error on. Fails with ErrorCode::BadRequest and the
/// line and column. Thread-safe.
Result<boost::json::value> parseJsonWithComments(std::string_view text);

/// How strictly a document is read.
enum class JsonStrictness {
    Strict,
    /// For documents of other programs, which may be newer: unknown members are ignored, and
    /// numbers may be written with a fraction, which is dropped.
    Foreign,
};

/// Reads the members of one JSON object, checks types and ranges, and collects all problems instead
/// of stopping at the first. Members that are absent leave the target as it is, which is the
/// default. Not thread-safe.
class JsonReader
{
public:
    /// \a problems must outlive the reader. A \a value that is no object is a problem.
    JsonReader(const boost::json::value &value, std::string path,
               std::vector<JsonProblem> &problems,
               JsonStrictness strictness = JsonStrictness::Strict);

    /// Reports members that no call has read, unless the document is foreign. Call it last.
    void reportUnknown();

    /// Reports a problem if member \a key is absent.
    void require(std::string_view key);

    void text(std::string_view key, std::string &target);

    /// As text(); an absent or empty member is a problem.
    void requiredText(std::string_view key, std::string &target);
    void texts(std::string_view key, std::vector<std::string> &target);
    void flag(std::string_view key, bool &target);

    /// Reads an integer, written without fraction and exponent, between \a lowest and \a highest.
    template<class Integer>
    void integer(std::string_view key, Integer &target, std::int64_t lowest, std::int64_t highest)
    {
        std::int64_t value = 0;
        if (readInteger(key, value, lowest, highest))
            target = static_cast<Integer>(value);
    }

    /// Reads a finite number between \a lowest and \a highest. Returns whether it was present and
    /// valid.
    bool number(std::string_view key, double &target, double lowest, double highest);

    /// Reads an array of integers between \a lowest and \a highest.
    void integers(std::string_view key, std::vector<std::int64_t> &target, std::int64_t lowest,
                  std::int64_t highest);

    /// As integer(), but a number with a fraction is a problem in foreign documents too.
    template<class Integer>
    void wholeNumber(std::string_view key, Integer &target, std::int64_t lowest,
                     std::int64_t highest)
    {
        std::int64_t value = 0;
        if (isWholeOrAbsent(key) && readInteger(key, value, lowest, highest))
            target = static_cast<Integer>(value);
    }

    /// Reads a number of milliseconds into a std::chrono duration.
    template<class Period>
    void milliseconds(std::string_view key, Period &target, std::int64_t lowest,
                      std::int64_t highest)
    {
        std::int64_t value = 0;
        if (readInteger(key, value, lowest, highest))
            target = std::chrono::milliseconds(value);
    }

    /// Reads one of the names in \a choices.
    template<class Enum>
    void choice(std::string_view key, Enum &target,
                const std::vector<std::pair<std::string_view, Enum>> &choices)
    {
        std::vector<std::string_view> names;
        for (const auto &[name, value] : choices)
            names.push_back(name);
        if (const auto index = readChoice(key, names))
            target = choices[*index].second;
    }

    /// Reads a member object with \a read; nothing happens if it is absent.
    void object(std::string_view key, const std::function<void(JsonReader &)> &read);

    /// Reads each object of a member array with \a read.
    void objects(std::string_view key, const std::function<void(JsonReader &)> &read);

    /// Whether member \a key is an array without entries.
    bool isEmptyArray(std::string_view key);

    /// Reports a problem with member \a key.
    void problem(std::string_view key, std::string message);

private:
    const boost::json::value *find(std::string_view key);
    bool isWholeOrAbsent(std::string_view key);
    bool readInteger(std::string_view key, std::int64_t &value, std::int64_t lowest,
                     std::int64_t highest);
    std::optional<std::size_t> readChoice(std::string_view key,
                                          const std::vector<std::string_view> &names);
    std::optional<std::int64_t> toInteger(const boost::json::value &value) const;
    std::string pathOf(std::string_view key) const;

    const boost::json::object *object_;
    std::string path_;
    std::vector<JsonProblem> &problems_;
    JsonStrictness strictness_;
    std::set<std::string, std::less<>> known_;
};

} // namespace shallotwalk
