#include "model/configuration.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>

#include "base/name_table.h"

namespace pomelohall {
namespace {

constexpr name_table<class_kind, 3> kClassKindNames{{{
    {class_kind::kLookup, "lookup"},
    {class_kind::kDownload, "download"},
    {class_kind::kTransaction, "transaction"},
}}};

constexpr std::size_t kMaxNameLength = 63;  // As in a DNS label.
constexpr std::int64_t kMaxWithinMs = 3'600'000;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

bool IsWellFormedName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         name.front() != '-' && name.back() != '-' &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

class validator {
 public:
  explicit validator(const configuration& document) : document_(document) {}

  std::vector<validation_issue> Run() {
    CheckServices();
    CheckClasses();
    CheckRoutes();
    return std::move(issues_);
  }

 private:
  static std::string Path(std::string_view list, std::size_t index,
                          std::string_view field) {
    return "/" + std::string(list) + "/" + std::to_string(index) + "/" +
           std::string(field);
  }

  void AddIssue(std::string path, std::string message) {
    issues_.push_back({std::move(path), std::move(message)});
  }

  void CheckName(const std::string& path, const std::string& name,
                 std::set<std::string>& seen) {
    if (!IsWellFormedName(name)) {
      AddIssue(path,
               "found \"" + name +
                   "\", allowed are 1 to 63 characters a-z, 0-9 and '-', not "
                   "starting or ending with '-'");
    }
    if (!seen.insert(name).second) {
      AddIssue(path,
               "found \"" + name + "\" a second time, names must be unique");
    }
  }

  void CheckServices() {
    for (std::size_t i = 0; i < document_.services.size(); ++i) {
      CheckName(Path("services", i, "name"), document_.services[i].name,
                service_names_);
    }
  }

  void CheckClasses() {
    for (std::size_t i = 0; i < document_.classes.size(); ++i) {
      const auto& item = document_.classes[i];
      CheckName(Path("classes", i, "name"), item.name, class_names_);
      if (!service_names_.contains(item.service)) {
        AddIssue(
            Path("classes", i, "service"),
            "service \"" + item.service + "\" is not declared in /services");
      }
      CheckTarget(Path("classes", i, "target"), item);
    }
  }

  void CheckTarget(const std::string& path, const work_class& item) {
    const auto& target = item.target;
    if (target.within_ms < 1 || target.within_ms > kMaxWithinMs) {
      AddIssue(path + "/within_ms", "found " +
                                        std::to_string(target.within_ms) +
                                        ", allowed are 1 to 3600000");
    }
    if (!(target.share > 0.0 && target.share < 1.0)) {
      AddIssue(path + "/share", "found " + std::to_string(target.share) +
                                    ", allowed are values above 0 and below 1");
    }
    if (target.min_bytes_per_s < 0) {
      AddIssue(path + "/min_bytes_per_s",
               "found " + std::to_string(target.min_bytes_per_s) +
                   ", allowed are 0 and above");
    }
    if (target.min_bytes_per_s > 0 && item.kind != class_kind::kDownload) {
      AddIssue(path + "/min_bytes_per_s",
               "allowed only for classes of kind \"download\", found kind \"" +
                   std::string(ClassKindName(item.kind)) + "\"");
    }
  }

  void CheckRoutes() {
    std::set<std::pair<std::string, std::string>> seen;
    for (std::size_t i = 0; i < document_.routes.size(); ++i) {
      const auto& item = document_.routes[i];
      if (item.path_prefix.empty() || item.path_prefix.front() != '/') {
        AddIssue(Path("routes", i, "path_prefix"),
                 "found \"" + item.path_prefix +
                     "\", allowed are paths that start with '/'");
      }
      if (!class_names_.contains(item.work_class)) {
        AddIssue(
            Path("routes", i, "class"),
            "class \"" + item.work_class + "\" is not declared in /classes");
      }
      if (!seen.insert({item.path_prefix, item.method}).second) {
        AddIssue(Path("routes", i, "path_prefix"),
                 "found \"" + item.path_prefix +
                     "\" a second time for the same method");
      }
    }
  }

  const configuration& document_;
  std::set<std::string> service_names_;
  std::set<std::string> class_names_;
  std::vector<validation_issue> issues_;
};

}  // namespace

std::string_view ClassKindName(class_kind kind) {
  return kClassKindNames.Name(kind);
}

std::optional<class_kind> FindClassKind(std::string_view name) {
  return kClassKindNames.Find(name);
}

std::vector<validation_issue> Validate(const configuration& document) {
  return validator(document).Run();
}

std::string FormatIssues(const std::vector<validation_issue>& issues) {
  std::string text;
  for (const auto& issue : issues) {
    if (!text.empty()) text += "\n";
    text += issue.path + ": " + issue.message;
  }
  return text;
}

}  // namespace pomelohall
