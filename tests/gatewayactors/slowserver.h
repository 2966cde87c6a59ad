#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace shallotwalk {

/// HTTP server that accepts one connection and answers each request on it by sending the same
/// pieces, each after a pause. Stops when the connection is closed.
class SlowServer
{
public:
    SlowServer(std::vector<std::string> pieces, std::chrono::milliseconds pause);
    ~SlowServer();
    SlowServer(const SlowServer &) = delete;
    SlowServer &operator=(const SlowServer &) = delete;

    std::uint16_t port() const { return port_; }

private:
    void serve();

    std::vector<std::string> pieces_;
    std::chrono::milliseconds pause_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::thread thread_;
};

} // namespace shallotwalk
