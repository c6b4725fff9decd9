#ifndef POMELOHALL_BACKEND_BUFFERED_BODY_H_
#define POMELOHALL_BACKEND_BUFFERED_BODY_H_

#include <memory>
#include <string>
#include <utility>

#include "backend/body_source.h"

namespace pomelohall {

/// A complete body in memory, shared by the attempts of a call.
class buffered_body final : public body_source {
 public:
  /// @param bytes The body; must not be null.
  explicit buffered_body(std::shared_ptr<const std::string> bytes)
      : bytes_(std::move(bytes)) {}

  void Read(callback done) override { done(body_part{*bytes_, true}); }
  void Cancel() override {}

 private:
  std::shared_ptr<const std::string> bytes_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_BACKEND_BUFFERED_BODY_H_
