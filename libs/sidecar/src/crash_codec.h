#ifndef POMELOHALL_SIDECAR_SRC_CRASH_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_CRASH_CODEC_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "backend/exchange.h"
#include "caller/body_prefix.h"
#include "quarantine/crash_history.h"
#include "sidecar/header_field_names.h"

namespace pomelohall {

// Returns the fingerprint of a request: it is the same whenever a request with
// the same method, host, path, caller service and body comes, at any daemon and
// in any framing.
std::uint64_t FingerprintOf(const request_head& head, const body_prefix& body,
                            const header_field_names& names);

// Returns the value of kMeshCrashesField.
std::string EncodeCrashes(const std::vector<suspected_crash>& crashes);
// Returns std::nullopt if the text is malformed.
std::optional<std::vector<suspected_crash>> DecodeCrashes(
    std::string_view text);

// Adds the crashes of a request to a message to another daemon, if there are
// any, or that it is cleared of them.
void SetCrashes(http_fields& fields, const crash_history& history,
                std::uint64_t fingerprint);
// Removes the crashes of a request from a message of another daemon and adds
// them to the history. Malformed ones are ignored.
void TakeCrashes(http_fields& fields, crash_history& history,
                 std::uint64_t fingerprint);

// Returns the crashes of a member's record as JSON, and reads them. Malformed
// ones are std::nullopt.
nlohmann::json EncodeReports(const std::vector<crash_report>& reports);
std::optional<std::vector<crash_report>> DecodeReports(
    const nlohmann::json& reports);
// The same for fingerprints of requests.
nlohmann::json EncodeRequests(const std::vector<std::uint64_t>& requests);
std::optional<std::vector<std::uint64_t>> DecodeRequests(
    const nlohmann::json& requests);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_CRASH_CODEC_H_
