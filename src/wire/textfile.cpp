#include "wire/textfile.h"

#include <boost/leaf/error.hpp>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace shallotwalk {

Result<std::string> readTextFile(const std::string &path)
{
    const auto fail = [&path](const std::string &reason) {
        return boost::leaf::new_error(
            Failure{ErrorCode::BadRequest, Verdict::DidNotRun, path + ": " + reason});
    };
    std::error_code ignored;
    // A directory can be opened as a stream and then reads as empty.
    if (std::filesystem::is_directory(path, ignored))
        return fail("is a directory");
    errno = 0;
    std::ifstream file(path);
    if (!file)
        return fail(std::generic_category().message(errno));
    std::ostringstream text;
    text << file.rdbuf();
    if (file.bad())
        return fail("can't be read");
    return text.str();
}

} // namespace shallotwalk
