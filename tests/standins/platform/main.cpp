#include "platformhandler.h"

#include <boost/program_options.hpp>

#include <cstdio>

namespace options = boost::program_options;

/// Stand-in for the consortium platform: store, promotion call and one group of three databases.
int main(int argc, char **argv)
{
    try {
        unsigned short port = 0;
        options::options_description description("standin_platform");
        description.add_options()("port", options::value(&port), "0: chosen by the kernel");
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        standin::PlatformHandler handler;
        standin::HttpServer server(port, handler);
        server.run();
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "standin_platform: %s\n", exception.what());
        return 1;
    }
}
