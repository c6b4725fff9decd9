#include "member_codec.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "backend/http_message.h"
#include "base/json_text.h"
#include "crash_codec.h"
#include "rollout_codec.h"

namespace pomelohall {

namespace {

using nlohmann::json;

// Limit of the departures in a record, above what daemons write.
constexpr std::size_t kMaxDepartures = 64;

std::optional<std::string> Text(const json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<std::uint64_t> Unsigned(const json& object, const char* field) {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_number_unsigned())
    return std::nullopt;
  return found->get<std::uint64_t>();
}

// Returns std::nullopt if the list is malformed.
std::optional<std::vector<departed_server>> Departures(const json& document) {
  std::vector<departed_server> departed;
  const auto list = document.find("departed");
  if (list == document.end()) return departed;
  if (!list->is_array() || list->size() > kMaxDepartures) return std::nullopt;
  for (const auto& entry : *list) {
    if (!entry.is_object()) return std::nullopt;
    const auto instance = Text(entry, "instance");
    const auto start = entry.find("latest_start_unix_ms");
    if (!instance || !IsVisibleText(*instance) ||
        instance->size() > kMaxInstanceBytes || start == entry.end() ||
        !start->is_number_integer()) {
      return std::nullopt;
    }
    const auto withdrawn = entry.find("withdrawn");
    if (withdrawn != entry.end() && !withdrawn->is_boolean())
      return std::nullopt;
    departed.push_back(
        {.instance = *instance,
         .start_unix_ms = start->get<std::int64_t>(),
         // Daemons of older versions do not write it.
         .withdrawn = withdrawn != entry.end() && withdrawn->get<bool>()});
  }
  return departed;
}

}  // namespace

std::string EncodeMember(const mesh_member& member) {
  json spec{{"address", member.address},
            {"data_centre", member.data_centre},
            {"link_mbps", member.link_mbps},
            {"incarnation", member.incarnation},
            {"sequence", member.sequence}};
  if (member.server) {
    spec["server"] = {{"instance", member.server->instance},
                      {"service", member.server->service},
                      {"slots", member.server->slots}};
    if (!member.server->version.empty()) {
      spec["server"]["version"] = member.server->version;
    }
  }
  for (const auto& departure : member.departed) {
    json entry{{"instance", departure.instance},
               {"latest_start_unix_ms", departure.start_unix_ms}};
    if (departure.withdrawn) entry["withdrawn"] = true;
    spec["departed"].push_back(std::move(entry));
  }
  if (!member.crashes.empty()) spec["crashes"] = EncodeReports(member.crashes);
  if (!member.cleared.empty()) spec["cleared"] = EncodeRequests(member.cleared);
  if (member.rollout) spec["rollout"] = ToJson(*member.rollout);
  return spec.dump();
}

result<mesh_member> DecodeMember(const std::string& name,
                                 const std::string& spec) {
  const auto document = ParseJson(spec);
  const auto malformed = [&](const std::string& reason) {
    return Fail(error_kind::kProtocolError,
                "record of member " + name + ": " + reason);
  };
  if (!document.is_object()) return malformed("not an object");
  const auto data_centre = Text(document, "data_centre");
  const auto address = Text(document, "address");
  const auto incarnation = Unsigned(document, "incarnation");
  const auto link = document.find("link_mbps");
  if (!data_centre || !incarnation)
    return malformed("data_centre or incarnation is missing or mistyped");
  if (!address || !IsServerAddress(*address))
    return malformed("address is not \"ip:port\" with a port of 1 to 65535");
  if (link == document.end() || !link->is_number() || link->get<double>() < 0 ||
      link->get<double>() > kMaxLinkMbps)
    return malformed("link_mbps is not a number in its range");
  mesh_member member{.name = name,
                     .data_centre = *data_centre,
                     .address = *address,
                     .link_mbps = link->get<double>(),
                     .incarnation = *incarnation,
                     // Daemons of older versions send none.
                     .sequence = Unsigned(document, "sequence").value_or(0),
                     .server = std::nullopt};
  auto departed = Departures(document);
  if (!departed) return malformed("a departed server is malformed");
  member.departed = std::move(*departed);
  if (const auto list = document.find("crashes"); list != document.end()) {
    auto crashes = DecodeReports(*list);
    if (!crashes) return malformed("a crash is malformed");
    member.crashes = std::move(*crashes);
  }
  if (const auto list = document.find("cleared"); list != document.end()) {
    auto cleared = DecodeRequests(*list);
    if (!cleared) return malformed("a cleared request is malformed");
    member.cleared = std::move(*cleared);
  }
  if (const auto order = document.find("rollout"); order != document.end()) {
    member.rollout = ParseRollout(*order);
    if (!member.rollout) return malformed("the roll-out is malformed");
  }
  const auto server = document.find("server");
  if (server == document.end()) return member;
  if (!server->is_object()) return malformed("the server is not an object");
  const auto instance = Text(*server, "instance");
  const auto service = Text(*server, "service");
  const auto slots = Unsigned(*server, "slots");
  if (!instance || !service || !IsVisibleText(*instance) ||
      !IsVisibleText(*service) || !slots || *slots == 0 ||
      *slots > kMaxServerSlots) {
    return malformed("instance, service or slots of the server is invalid");
  }
  // Written only if the version is used.
  const auto version = Text(*server, "version").value_or("");
  if (version.size() > kMaxServerVersionBytes) {
    return malformed("the version of the server is too long");
  }
  member.server = {.instance = *instance,
                   .service = *service,
                   .slots = *slots,
                   .version = version};
  return member;
}

}  // namespace pomelohall
