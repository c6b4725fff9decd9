#ifndef POMELOHALL_CALLER_PREFIXED_BODY_H_
#define POMELOHALL_CALLER_PREFIXED_BODY_H_

#include <memory>
#include <string>
#include <utility>

#include "backend/body_source.h"

namespace pomelohall {

// A body whose first bytes were already read. It can be sent only once.
class prefixed_body final : public body_source {
 public:
  prefixed_body(std::shared_ptr<const std::string> start,
                std::shared_ptr<body_source> rest)
      : start_(std::move(start)), rest_(std::move(rest)) {}

  void Read(callback done) override {
    if (!std::exchange(consumed_, true)) {
      done(body_part{*start_, false});
    } else {
      rest_->Read(std::move(done));
    }
  }

  void Cancel() override { rest_->Cancel(); }

  // Returns whether a part was read, after which the body cannot be sent again.
  bool Consumed() const { return consumed_; }

 private:
  std::shared_ptr<const std::string> start_;
  std::shared_ptr<body_source> rest_;
  bool consumed_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_PREFIXED_BODY_H_
