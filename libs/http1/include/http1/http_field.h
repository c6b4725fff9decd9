#ifndef POMELOHALL_HTTP1_HTTP_FIELD_H_
#define POMELOHALL_HTTP1_HTTP_FIELD_H_

#include <string>
#include <vector>

namespace pomelohall {

/// One header field. Names are compared case-insensitively.
struct http_field {
  std::string name;
  std::string value;

  bool operator==(const http_field&) const = default;
};

using http_fields = std::vector<http_field>;

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_HTTP_FIELD_H_
