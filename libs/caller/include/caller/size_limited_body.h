#ifndef POMELOHALL_CALLER_SIZE_LIMITED_BODY_H_
#define POMELOHALL_CALLER_SIZE_LIMITED_BODY_H_

#include <cstdint>
#include <memory>

#include "backend/body_source.h"

namespace pomelohall {

/// A body that fails with `kBodyTooLarge` once more than `limit` bytes of it
/// have arrived.
class size_limited_body final
    : public body_source,
      public std::enable_shared_from_this<size_limited_body> {
 public:
  size_limited_body(std::shared_ptr<body_source> source, std::uint64_t limit);

  // body_source
  void Read(callback done) override;
  void Cancel() override;

 private:
  result<body_part> Check(result<body_part> part);

  const std::shared_ptr<body_source> source_;
  std::uint64_t left_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_SIZE_LIMITED_BODY_H_
