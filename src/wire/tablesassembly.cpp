#include "wire/tablesassembly.h"

#include "core/tablesvalidation.h"

namespace shallotwalk {

namespace {

boost::leaf::error_id invalid(const TableProblem &problem)
{
    return boost::leaf::new_error(Failure{ErrorCode::BadRequest, Verdict::DidNotRun,
                                          "tables: " + problem.path + ": " + problem.message});
}

/// The rows of one part, checked one by one.
Result<std::shared_ptr<const Tables>> decodePart(const TablesPart &part)
{
    BOOST_LEAF_AUTO(rows, joinTables({0, {}, {part.hash}}, std::span(&part, 1)));
    const auto problems = validateRows(rows);
    if (!problems.empty())
        return invalid(problems.front());
    return std::make_shared<const Tables>(std::move(rows));
}

} // namespace

Result<Tables> TablesAssembly::assemble(const TablesHead &head, std::span<const TablesPart> parts)
{
    if (parts.size() != head.parts.size())
        return invalid({"parts", "a part is missing"});
    Tables tables;
    tables.version = head.version;
    std::map<std::string, Rows, std::less<>> decoded;
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].hash != head.parts[i])
            return invalid({"parts", "part " + head.parts[i] + " is missing"});
        const auto known = decoded_.find(parts[i].hash);
        Rows rows = known != decoded_.end() ? known->second : nullptr;
        if (!rows) {
            BOOST_LEAF_ASSIGN(rows, decodePart(parts[i]));
        }
        tables.routes.insert(tables.routes.end(), rows->routes.begin(), rows->routes.end());
        tables.pools.insert(tables.pools.end(), rows->pools.begin(), rows->pools.end());
        decoded.insert_or_assign(parts[i].hash, std::move(rows));
    }
    const auto problems = validateReferences(tables);
    if (!problems.empty())
        return invalid(problems.front());
    decoded_ = std::move(decoded);
    return tables;
}

} // namespace shallotwalk
