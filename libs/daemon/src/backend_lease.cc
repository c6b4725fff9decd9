#include "daemon/backend_lease.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/name_table.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::int64_t kMaxSlots = 10'000;
constexpr std::int64_t kMaxConnections = 100'000;

// States that a backend server may announce; the others are set by the daemon.
constexpr name_table<backend_state, 3> kAnnouncedStates{{{
    {backend_state::kStarting, "starting"},
    {backend_state::kReady, "ready"},
    {backend_state::kDraining, "draining"},
}}};

tl::unexpected<error> InvalidField(const std::string& field,
                                   const std::string& allowed) {
  return Fail(error_kind::kInvalidRequest,
              "announcement field \"" + field +
                  "\" is missing or invalid, allowed: " + allowed);
}

const json* FindString(const json& value, const char* field) {
  const auto found = value.find(field);
  if (found == value.end() || !found->is_string()) return nullptr;
  return &*found;
}

std::optional<std::int64_t> FindInteger(const json& value, const char* field,
                                        std::int64_t lowest,
                                        std::int64_t highest) {
  const auto found = value.find(field);
  if (found == value.end() || !found->is_number_integer()) return std::nullopt;
  const auto number = found->get<std::int64_t>();
  if (number < lowest || number > highest) return std::nullopt;
  return number;
}

result<void> RejectUnknownFields(const json& value) {
  static const std::set<std::string> fields{
      "service", "address", "slots", "connections", "incarnation", "state"};
  for (const auto& [key, unused] : value.items()) {
    if (!fields.contains(key)) {
      return Fail(error_kind::kInvalidRequest,
                  "announcement field \"" + key + "\" is unknown");
    }
  }
  return {};
}

}  // namespace

result<backend_announcement> ParseAnnouncement(std::string_view json_text) {
  const json value = json::parse(json_text, nullptr, false);
  if (!value.is_object()) {
    return Fail(error_kind::kInvalidRequest,
                "the announcement is not a JSON object");
  }
  if (auto known = RejectUnknownFields(value); !known) {
    return tl::unexpected(known.error());
  }
  backend_announcement parsed;
  const json* service = FindString(value, "service");
  if (service == nullptr) return InvalidField("service", "string");
  parsed.service = service->get<std::string>();
  const json* address = FindString(value, "address");
  if (address == nullptr) return InvalidField("address", "\"ip:port\"");
  parsed.address = address->get<std::string>();
  const auto slots = FindInteger(value, "slots", 1, kMaxSlots);
  if (!slots) return InvalidField("slots", "1 to 10000");
  parsed.slots = static_cast<std::uint32_t>(*slots);
  if (value.contains("connections")) {
    const auto connections =
        FindInteger(value, "connections", 0, kMaxConnections);
    if (!connections) return InvalidField("connections", "0 to 100000");
    parsed.connections = static_cast<std::uint32_t>(*connections);
  }
  const auto incarnation = FindInteger(value, "incarnation", 0, INT64_MAX);
  if (!incarnation) return InvalidField("incarnation", "integer from 0");
  parsed.incarnation = static_cast<std::uint64_t>(*incarnation);
  const json* state = FindString(value, "state");
  const auto known = state == nullptr
                         ? std::nullopt
                         : kAnnouncedStates.Find(state->get<std::string>());
  if (!known) return InvalidField("state", "starting, ready, draining");
  parsed.state = *known;
  return parsed;
}

result<void> backend_lease::Announce(backend_announcement announcement,
                                     instant now) {
  Tick(now);
  if (current_ && current_->address != announcement.address) {
    return Fail(error_kind::kConflict, "the backend server at " +
                                           current_->address +
                                           " holds the lease of this daemon");
  }
  if (drained_incarnation_ == announcement.incarnation) {
    announcement.state = backend_state::kDraining;
  } else {
    drained_incarnation_.reset();
  }
  current_ = std::move(announcement);
  had_backend_ = true;
  expiry_ = now + kLeaseDuration;
  return {};
}

void backend_lease::Withdraw() { current_.reset(); }

result<void> backend_lease::Drain() {
  if (!current_) {
    return Fail(error_kind::kNotFound,
                "no backend server has announced itself to this daemon");
  }
  drained_incarnation_ = current_->incarnation;
  current_->state = backend_state::kDraining;
  return {};
}

void backend_lease::Tick(instant now) {
  if (current_ && now >= expiry_) current_.reset();
}

backend_record backend_lease::Record() const {
  if (!current_) {
    return {
        .service = "",
        .slots = 0,
        .state = had_backend_ ? backend_state::kGone : backend_state::kNone};
  }
  return {.service = current_->service,
          .slots = current_->slots,
          .state = current_->state};
}

}  // namespace pomelohall
