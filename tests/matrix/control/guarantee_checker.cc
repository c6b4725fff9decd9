#include "matrix/control/guarantee_checker.h"

#include <algorithm>
#include <utility>

namespace pomelohall::matrix {
namespace {

// One defect may be reported at every event; the first reports are sufficient.
constexpr std::size_t kMaxViolations = 20;

bool HasReadyServer(const member_record& record) {
  return IsLive(record.state) && record.backend.state == backend_state::kReady;
}

}  // namespace

void guarantee_checker::Report(guarantee which, std::string detail,
                               instant now) {
  if (violations_.size() >= kMaxViolations) return;
  detail += " at " + std::to_string(ToMillis(now.time_since_epoch())) + " ms";
  violations_.push_back({which, std::move(detail)});
}

void guarantee_checker::OnPutInForce(
    const std::string& member, const config_image& image,
    const std::map<config_version, config_image_ptr>& accepted, instant now) {
  const config_version version = image.head.version;
  config_version& highest = highest_in_force_[member];
  if (version < highest) {
    Report(guarantee::kNoRegress,
           member + " went back from version " + std::to_string(highest) +
               " to " + std::to_string(version),
           now);
  }
  highest = std::max(highest, version);
  const auto found = accepted.find(version);
  if (found == accepted.end() || found->second->head != image.head ||
      !ImageDocument(image)) {
    Report(guarantee::kWholeVersion,
           member + " has version " + std::to_string(version) +
               " in force, which differs from the accepted version",
           now);
  }
}

void guarantee_checker::CheckRouting(const std::string& member,
                                     const routing_state& routing,
                                     const membership& table, instant now) {
  for (const auto& server : routing.servers) {
    const member_record* known = table.Find(server.name);
    if (known == nullptr || !IsLive(known->state)) {
      Report(
          guarantee::kNoDangling,
          member + " routes to " + server.name + ", which is not a live member",
          now);
    }
  }
}

routing_state BuildRouting(config_image_ptr image, const membership& table) {
  routing_state routing{.image = std::move(image), .servers = {}};
  for (auto& record : table.Records()) {
    if (HasReadyServer(record)) routing.servers.push_back(std::move(record));
  }
  return routing;
}

}  // namespace pomelohall::matrix
