#include "operators/diff_command.h"

#include <nlohmann/json.hpp>

#include "operators/configuration_diff.h"
#include "operators/configuration_reader.h"

namespace pomelohall {
namespace {

using nlohmann::json;

std::string FormatLine(const difference& each) {
  switch (each.kind) {
    case difference_kind::kAdded:
      return "+ " + each.item + ": " + each.after + "\n";
    case difference_kind::kRemoved:
      return "- " + each.item + ": " + each.before + "\n";
    case difference_kind::kChanged:
      break;
  }
  return "~ " + each.item + ": " + each.before + " -> " + each.after + "\n";
}

std::string FormatTable(config_version version,
                        const std::vector<difference>& differences) {
  const std::string base = "version " + std::to_string(version);
  if (differences.empty()) return "no difference from " + base + "\n";
  std::string text = "differences from " + base + ":\n";
  for (const auto& each : differences) text += FormatLine(each);
  return text;
}

std::string FormatJson(config_version version,
                       const std::vector<difference>& differences) {
  json items = json::array();
  for (const auto& each : differences) {
    json item = {{"change", DifferenceKindName(each.kind)},
                 {"item", each.item}};
    if (!each.before.empty()) item["before"] = each.before;
    if (!each.after.empty()) item["after"] = each.after;
    items.push_back(std::move(item));
  }
  return json{{"version", version}, {"differences", std::move(items)}}.dump() +
         "\n";
}

}  // namespace

command_output RunDiff(environment& env, const diff_options& options) {
  const auto proposed = ParseConfiguration(options.document);
  if (!proposed) return Failed(proposed.error());
  const auto head = ReadHead(env);
  if (!head) return Failed(head.error());
  const auto stored = ReadDocument(env, *head);
  if (!stored) return Failed(stored.error());
  const auto differences = CompareConfigurations(*stored, *proposed);
  return Succeeded(options.format == output_format::kJson
                       ? FormatJson(head->version, differences)
                       : FormatTable(head->version, differences));
}

}  // namespace pomelohall
