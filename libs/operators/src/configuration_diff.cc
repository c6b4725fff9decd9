#include "operators/configuration_diff.h"

#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr name_table<difference_kind, 3> kKindNames{{{
    {difference_kind::kAdded, "added"},
    {difference_kind::kRemoved, "removed"},
    {difference_kind::kChanged, "changed"},
}}};

using item_descriptions = std::map<std::string, std::string>;

std::string DescribeTarget(const target& item) {
  // JSON prints the shortest form of a number: 0.99 instead of 0.990000.
  std::string text = "within " + std::to_string(item.within_ms) +
                     " ms, share " + nlohmann::json(item.share).dump();
  if (item.min_bytes_per_s > 0) {
    text += ", from " + std::to_string(item.min_bytes_per_s) + " bytes/s";
  }
  return text;
}

item_descriptions DescribeServices(const configuration& document) {
  item_descriptions items;
  for (const auto& each : document.services) {
    items["service " + each.name] = "declared";
  }
  return items;
}

item_descriptions DescribeClasses(const configuration& document) {
  item_descriptions items;
  for (const auto& each : document.classes) {
    items["class " + each.name] = "service " + each.service + ", kind " +
                                  std::string(ClassKindName(each.kind)) + ", " +
                                  DescribeTarget(each.target);
  }
  return items;
}

item_descriptions DescribeRoutes(const configuration& document) {
  item_descriptions items;
  for (const auto& each : document.routes) {
    const std::string method = each.method.empty() ? "" : each.method + " ";
    items["route " + method + each.path_prefix] = "class " + each.work_class;
  }
  return items;
}

void Compare(const item_descriptions& before, const item_descriptions& after,
             std::vector<difference>& found) {
  item_descriptions all = before;
  all.insert(after.begin(), after.end());
  for (const auto& [item, unused] : all) {
    const auto old_item = before.find(item);
    const auto new_item = after.find(item);
    if (old_item == before.end()) {
      found.push_back({difference_kind::kAdded, item, "", new_item->second});
    } else if (new_item == after.end()) {
      found.push_back({difference_kind::kRemoved, item, old_item->second, ""});
    } else if (old_item->second != new_item->second) {
      found.push_back({difference_kind::kChanged, item, old_item->second,
                       new_item->second});
    }
  }
}

}  // namespace

std::string_view DifferenceKindName(difference_kind kind) {
  return kKindNames.Name(kind);
}

std::vector<difference> CompareConfigurations(const configuration& before,
                                              const configuration& after) {
  std::vector<difference> found;
  Compare(DescribeServices(before), DescribeServices(after), found);
  Compare(DescribeClasses(before), DescribeClasses(after), found);
  Compare(DescribeRoutes(before), DescribeRoutes(after), found);
  return found;
}

}  // namespace pomelohall
