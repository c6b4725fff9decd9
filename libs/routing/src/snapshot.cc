#include "routing/snapshot.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pomelohall {
namespace {

using index_by_name = std::map<std::string, std::size_t, std::less<>>;

bool IsReady(const member_record& member) {
  const bool alive = member.state == member_state::kAlive ||
                     member.state == member_state::kSuspect;
  return alive && member.backend.state == backend_state::kReady;
}

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

server_entry MakeServer(const member_record& member, bool reachable) {
  return {.member = member.name,
          .data_centre = member.data_centre,
          .region = member.region,
          .forward_address = member.forward_address,
          .incarnation = member.incarnation,
          .slots = member.backend.slots,
          .reachable = reachable};
}

index_by_name AddServices(const configuration& document, snapshot& next) {
  index_by_name indexes;
  for (const auto& item : document.services) {
    indexes.emplace(item.name, next.services.size());
    next.services.push_back({.name = item.name, .servers = {}});
  }
  return indexes;
}

index_by_name AddClasses(const configuration& document,
                         const index_by_name& services, snapshot& next) {
  index_by_name indexes;
  for (const auto& item : document.classes) {
    const auto found = services.find(item.service);
    if (found == services.end()) continue;
    indexes.emplace(item.name, next.classes.size());
    next.classes.push_back({.definition = item, .service = found->second});
  }
  return indexes;
}

void AddRoutes(const configuration& document, const index_by_name& classes,
               snapshot& next) {
  for (const auto& item : document.routes) {
    const auto found = classes.find(item.work_class);
    if (found == classes.end()) continue;
    next.routes.push_back({.path_prefix = item.path_prefix,
                           .method = item.method,
                           .work_class = found->second});
  }
  // Of two routes with the same prefix, the one with a method comes first.
  std::stable_sort(next.routes.begin(), next.routes.end(),
                   [](const route_entry& left, const route_entry& right) {
                     if (left.path_prefix.size() != right.path_prefix.size()) {
                       return left.path_prefix.size() >
                              right.path_prefix.size();
                     }
                     return !left.method.empty() && right.method.empty();
                   });
}

void AddServers(const std::vector<member_record>& members,
                const std::vector<std::string>& unreachable,
                const index_by_name& services, snapshot& next) {
  for (const auto& member : members) {
    const auto found = services.find(member.backend.service);
    if (found == services.end() || !IsReady(member)) continue;
    const bool reachable = !Contains(unreachable, member.data_centre);
    next.services[found->second].servers.push_back(
        MakeServer(member, reachable));
  }
}

}  // namespace

snapshot_ptr BuildSnapshot(config_version version,
                           const configuration& document,
                           const std::vector<member_record>& members,
                           const std::vector<std::string>& unreachable) {
  auto next = std::make_shared<snapshot>();
  next->version = version;
  const auto services = AddServices(document, *next);
  const auto classes = AddClasses(document, services, *next);
  AddRoutes(document, classes, *next);
  AddServers(members, unreachable, services, *next);
  return next;
}

result<const class_entry*> FindClass(const snapshot& snapshot,
                                     std::string_view method,
                                     std::string_view path) {
  for (const auto& route : snapshot.routes) {
    const bool matches = path.starts_with(route.path_prefix) &&
                         (route.method.empty() || route.method == method);
    if (matches) return &snapshot.classes[route.work_class];
  }
  return Fail(error_kind::kNoRoute,
              "no route for " + std::string(method) + " " + std::string(path) +
                  " in version " + std::to_string(snapshot.version));
}

}  // namespace pomelohall
