#ifndef POMELOHALL_SIDECAR_SRC_MESSAGE_BODY_H_
#define POMELOHALL_SIDECAR_SRC_MESSAGE_BODY_H_

#include <memory>
#include <string>
#include <utility>

#include "backend/buffered_body.h"

namespace pomelohall {

// Returns the body of a message between daemons.
inline std::shared_ptr<body_source> ToBody(std::string text) {
  return std::make_shared<buffered_body>(
      std::make_shared<const std::string>(std::move(text)));
}

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_MESSAGE_BODY_H_
