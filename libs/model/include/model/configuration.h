#ifndef POMELOHALL_MODEL_CONFIGURATION_H_
#define POMELOHALL_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace pomelohall {

/// What a class of work allows.
enum class class_kind {
  kLookup,       ///< Idempotent, small answer.
  kDownload,     ///< Idempotent, large answer.
  kTransaction,  ///< May not be repeated: runs at most once.
};

/// Returns "lookup", "download" or "transaction".
std::string_view ClassKindName(class_kind kind);

/// Returns the kind called `name`, or nothing.
std::optional<class_kind> FindClassKind(std::string_view name);

/// Returns whether a request of this kind may be sent more than once.
constexpr bool IsIdempotent(class_kind kind) {
  return kind != class_kind::kTransaction;
}

/// The target that an operator declares for a class of work.
struct target {
  /// Time until the whole answer has arrived, in ms; 1 to 3,600,000.
  std::int64_t within_ms = 1000;
  /// Share of all requests that must arrive in time; in (0, 1).
  double share = 0.99;
  /// Downloads only: body bytes / this rate are added to `within_ms`.
  /// 0 means that the body is not counted. Bytes per second.
  std::int64_t min_bytes_per_s = 0;

  bool operator==(const target&) const = default;
};

/// A service that backend servers announce themselves for.
struct service {
  std::string name;

  bool operator==(const service&) const = default;
};

/// A class of work with its target.
struct work_class {
  std::string name;
  std::string service;
  class_kind kind = class_kind::kLookup;
  struct target target;

  bool operator==(const work_class&) const = default;
};

/// Assigns requests to a class by path prefix and, if given, method.
struct route {
  std::string path_prefix;  ///< Starts with '/'.
  std::string method;       ///< Empty: every method.
  std::string work_class;

  bool operator==(const route&) const = default;
};

/// A configuration document: what an operator declares.
struct configuration {
  std::vector<service> services;
  std::vector<work_class> classes;
  std::vector<route> routes;

  bool operator==(const configuration&) const = default;
};

/// One fault found in a document.
struct validation_issue {
  std::string path;     ///< JSON pointer, for example "/routes/2/class".
  std::string message;  ///< States the found and the allowed value.
};

/// Checks a whole document: names are unique and well formed, every route names
/// a class, every class names a service, targets are in range. Returns all
/// issues found, none if the document is valid.
std::vector<validation_issue> Validate(const configuration& document);

/// Joins issues into one message, a line each.
std::string FormatIssues(const std::vector<validation_issue>& issues);

/// Parses a JSON document. Unknown fields, wrong types and faults found by
/// Validate() give `kInvalidConfiguration` with the path of each fault.
result<configuration> ParseConfiguration(std::string_view json_text);

/// Returns the document as JSON with two spaces of indentation.
std::string FormatConfiguration(const configuration& document);

}  // namespace pomelohall

#endif  // POMELOHALL_MODEL_CONFIGURATION_H_
