#ifndef POMELOHALL_MODEL_CONFIGURATION_H_
#define POMELOHALL_MODEL_CONFIGURATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace pomelohall {

/// Kind of a work class; determines whether its requests may be retried.
enum class class_kind {
  kLookup,       ///< Idempotent, small response.
  kDownload,     ///< Idempotent, large response.
  kTransaction,  ///< Not idempotent: runs at most once.
};

/// Returns "lookup", "download" or "transaction".
std::string_view ClassKindName(class_kind kind);

/// Returns the kind named `name`, or nullopt.
std::optional<class_kind> FindClassKind(std::string_view name);

/// Returns whether a request of this kind may be sent more than once.
constexpr bool IsIdempotent(class_kind kind) {
  return kind != class_kind::kTransaction;
}

/// Latency target that an operator declares for a work class.
struct target {
  /// Time until the complete response has arrived, in ms; 1 to 3,600,000.
  std::int64_t within_ms = 1000;
  /// Share of all requests that must meet the target; in (0, 1).
  double share = 0.99;
  /// Downloads only: lowest acceptable transfer rate, in bytes per second. The
  /// body size divided by this rate is added to `within_ms`; 0 adds nothing.
  std::int64_t min_bytes_per_s = 0;

  bool operator==(const target&) const = default;
};

/// A service that backend servers announce.
struct service {
  std::string name;

  bool operator==(const service&) const = default;
};

/// A class of requests to one service, with its target.
struct work_class {
  std::string name;
  std::string service;
  class_kind kind = class_kind::kLookup;
  struct target target;

  bool operator==(const work_class&) const = default;
};

/// Maps requests to a work class by path prefix and optional method.
struct route {
  std::string path_prefix;  ///< Starts with '/'.
  std::string method;       ///< Empty matches every method.
  std::string work_class;

  bool operator==(const route&) const = default;
};

/// A configuration document, as declared by an operator.
struct configuration {
  std::vector<service> services;
  std::vector<work_class> classes;
  std::vector<route> routes;

  bool operator==(const configuration&) const = default;
};

/// A fault in a document and its location.
struct validation_issue {
  std::string path;     ///< JSON pointer, for example "/routes/2/class".
  std::string message;  ///< States the found and the allowed value.
};

/// Validates a document: names must be unique and well formed, routes and
/// classes must refer to declared classes and services, and targets must be in
/// range. Returns all issues found; empty if the document is valid.
std::vector<validation_issue> Validate(const configuration& document);

/// Joins issues into one message with one line per issue.
std::string FormatIssues(const std::vector<validation_issue>& issues);

/// Parses and validates a JSON document. Fails with `kInvalidConfiguration` and
/// the path of each fault: unknown fields, wrong types and validation issues.
result<configuration> ParseConfiguration(std::string_view json_text);

/// Formats the document as JSON, indented by two spaces.
std::string FormatConfiguration(const configuration& document);

}  // namespace pomelohall

#endif  // POMELOHALL_MODEL_CONFIGURATION_H_
