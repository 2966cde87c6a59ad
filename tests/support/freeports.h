#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace shallotwalk {

/// Ports that the kernel chose, all different. Throws std::runtime_error if there are none.
std::vector<std::uint16_t> freePorts(std::size_t count);

} // namespace shallotwalk
