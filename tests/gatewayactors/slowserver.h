#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace shallotwalk {

/// An HTTP server that answers each request on its one connection with the same pieces, each after
/// a pause. Ends with the connection.
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
