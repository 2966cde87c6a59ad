#pragma once

#include "core/failure.h"
#include "core/vmentry.h"

#include <string>
#include <string_view>
#include <vector>

namespace shallotwalk {

/// Path of the list of VMs.
inline constexpr std::string_view vmListPath = "/v1/vms";

/// Decodes the list of VMs. Unknown members are ignored. Fails with ErrorCode::BadRequest if an
/// entry is incomplete or has an unknown state. Thread-safe.
Result<std::vector<VmEntry>> decodeVmList(std::string_view body);

/// Encodes one entry as it is in the list, and the inverse. Thread-safe.
std::string encodeVmEntry(const VmEntry &entry);
Result<VmEntry> decodeVmEntry(std::string_view text);

} // namespace shallotwalk
