#include "caller/size_limited_body.h"

#include <utility>

namespace pomelohall {

size_limited_body::size_limited_body(std::shared_ptr<body_source> source,
                                     std::uint64_t limit)
    : source_(std::move(source)), left_(limit) {}

void size_limited_body::Read(callback done) {
  source_->Read([self = shared_from_this(),
                 done = std::move(done)](result<body_part> part) {
    done(self->Check(std::move(part)));
  });
}

void size_limited_body::Cancel() { source_->Cancel(); }

result<body_part> size_limited_body::Check(result<body_part> part) {
  if (!part) return part;
  if (part->bytes.size() > left_) {
    return Fail(error_kind::kBodyTooLarge,
                "the body is above the configured limit");
  }
  left_ -= part->bytes.size();
  return part;
}

}  // namespace pomelohall
