#include "operators/diff_command.h"

#include <nlohmann/json.hpp>

#include "operators/configuration_diff.h"
#include "operators/configuration_reader.h"

namespace pomelohall {
namespace {

using nlohmann::json;

std::string ShowLine(const difference& each) {
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

std::string ShowTable(config_version version,
                      const std::vector<difference>& found) {
  const std::string base = "version " + std::to_string(version);
  if (found.empty()) return "no difference from " + base + "\n";
  std::string text = "differences from " + base + ":\n";
  for (const auto& each : found) text += ShowLine(each);
  return text;
}

std::string ShowJson(config_version version,
                     const std::vector<difference>& found) {
  json items = json::array();
  for (const auto& each : found) {
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

command_output RunDiff(environment& where, const diff_options& options) {
  const auto wanted = ParseConfiguration(options.document);
  if (!wanted) return Failed(wanted.error());
  const auto head = ReadHead(where);
  if (!head) return Failed(head.error());
  const auto stored = ReadDocument(where, *head);
  if (!stored) return Failed(stored.error());
  const auto found = CompareConfigurations(*stored, *wanted);
  return Shown(options.format == output_format::kJson
                   ? ShowJson(head->version, found)
                   : ShowTable(head->version, found));
}

}  // namespace pomelohall
