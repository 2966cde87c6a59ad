#pragma once

#include "core/failure.h"
#include "core/tableshead.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Longest part of the tables in bytes. The store limits values to 1 MB.
inline constexpr std::size_t maxPartSize = std::size_t{256} * 1024;

/// Decoded tables, or all problems that were found. The version is not part of the text.
struct TablesDecoding
{
    Tables tables;
    std::vector<TableProblem> problems; ///< Empty after a success.
};

/// One part of the encoded tables.
struct TablesPart
{
    std::string hash; ///< xxHash-128 of the content in hexadecimal.
    std::string content;
};

/// Decodes JSON (comments allowed). Unknown members, wrong types and numbers outside the type's
/// range are problems with their JSON path; a syntax error has the path "<line>:<column>". The
/// rules of validate() are not checked. Thread-safe.
TablesDecoding decodeTables(std::string_view text);

/// Encodes both tables, one row on each line. Equal tables give equal texts. Thread-safe.
std::string encodeTables(const Tables &tables);

/// Splits the tables at row boundaries that depend on the content, so that a change of one row
/// leaves most parts as they are. Fails if a single row exceeds maxPartSize. Thread-safe.
Result<std::vector<TablesPart>> splitTables(const Tables &tables);

/// Inverse of splitTables(). Fails unless \a parts are those that \a head names. Thread-safe.
Result<Tables> joinTables(const TablesHead &head, std::span<const TablesPart> parts);

/// Content hash of a part. Thread-safe.
std::string partHash(std::string_view content);

/// The head record. Decoding fails with ErrorCode::BadRequest. Thread-safe.
std::string encodeHead(const TablesHead &head);
Result<TablesHead> decodeHead(std::string_view text);

} // namespace shallotwalk
