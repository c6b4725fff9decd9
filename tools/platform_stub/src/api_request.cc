#include "api_request.h"

#include <nlohmann/json.hpp>
#include <vector>

#include "base/name_table.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr name_table<api_verb, 6> kVerbNames{{{
    {api_verb::kGet, "get"},
    {api_verb::kList, "list"},
    {api_verb::kWatch, "watch"},
    {api_verb::kCreate, "create"},
    {api_verb::kUpdate, "update"},
    {api_verb::kDelete, "delete"},
}}};

std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(1);  // The slash.
    const auto end = std::min(path.find('/'), path.size());
    segments.push_back(PercentDecode(path.substr(0, end)));
    path.remove_prefix(end);
  }
  return segments;
}

std::optional<api_verb> FindVerb(const http_request& request, bool has_name) {
  if (request.method == "GET") {
    if (has_name) return api_verb::kGet;
    const std::string watch = QueryParameter(request.target, "watch");
    return watch == "1" || watch == "true" ? api_verb::kWatch : api_verb::kList;
  }
  if (request.method == "POST" && !has_name) return api_verb::kCreate;
  if (request.method == "PUT" && has_name) return api_verb::kUpdate;
  if (request.method == "DELETE" && has_name) return api_verb::kDelete;
  return std::nullopt;
}

}  // namespace

std::string_view ApiVerbName(api_verb verb) { return kVerbNames.Name(verb); }

std::optional<api_request> ParseApiRequest(const http_request& request) {
  // The path is /apis/GROUP/VERSION/namespaces/NAMESPACE/PLURAL[/NAME].
  constexpr std::size_t kPlural = 5;
  const auto parts = SplitPath(TargetPath(request.target));
  const bool has_name = parts.size() == kPlural + 2;
  if (!has_name && parts.size() != kPlural + 1) return std::nullopt;
  if (parts[0] != "apis" || parts[1] != "pomelohall.dev" || parts[2] != "v1" ||
      parts[3] != "namespaces") {
    return std::nullopt;
  }
  const auto verb = FindVerb(request, has_name);
  if (!verb) return std::nullopt;
  return api_request{.verb = *verb,
                     .name_space = parts[4],
                     .plural = parts[kPlural],
                     .name = has_name ? parts[kPlural + 1] : ""};
}

http_response StatusResponse(int code, std::string_view reason,
                             std::string_view message) {
  const json status = {{"kind", "Status"},    {"apiVersion", "v1"},
                       {"status", "Failure"}, {"reason", reason},
                       {"message", message},  {"code", code}};
  return JsonResponse(
      code, status.dump(-1, ' ', false, json::error_handler_t::replace));
}

http_response ErrorStatusResponse(const error& failure, api_verb verb) {
  switch (failure.kind) {
    case error_kind::kNotFound:
      return StatusResponse(404, "NotFound", failure.message);
    case error_kind::kConflict:
      return StatusResponse(
          409, verb == api_verb::kCreate ? "AlreadyExists" : "Conflict",
          failure.message);
    case error_kind::kBodyTooLarge:
      return StatusResponse(413, "RequestEntityTooLarge", failure.message);
    default:
      return StatusResponse(422, "Invalid", failure.message);
  }
}

}  // namespace pomelohall
