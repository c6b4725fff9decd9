#ifndef POMELOHALL_CALLER_OBSERVED_BODY_H_
#define POMELOHALL_CALLER_OBSERVED_BODY_H_

#include <functional>
#include <memory>
#include <utility>

#include "backend/body_source.h"

namespace pomelohall {

// Forwards a body and passes each part to an observer first.
class observed_body final : public body_source,
                            public std::enable_shared_from_this<observed_body> {
 public:
  // Forwards the part to the reader by calling the second argument, immediately
  // or later. The call has no effect after the reader has cancelled.
  using part_observer = std::function<void(result<body_part>, callback)>;
  // Called when the reader cancels. `read_pending` is true if a read of the
  // inner body is in progress; the part observer still receives its result.
  using cancel_observer = std::function<void(bool read_pending)>;

  observed_body(std::shared_ptr<body_source> inner, part_observer on_part,
                cancel_observer on_cancel)
      : inner_(std::move(inner)),
        on_part_(std::move(on_part)),
        on_cancel_(std::move(on_cancel)) {}

  void Read(callback done) override {
    reader_callback_ = std::move(done);
    read_pending_ = true;
    inner_->Read([self = shared_from_this()](result<body_part> part) {
      self->read_pending_ = false;
      self->on_part_(std::move(part), [self](result<body_part> passed) {
        if (const auto pending =
                std::exchange(self->reader_callback_, nullptr)) {
          pending(std::move(passed));
        }
      });
    });
  }

  void Cancel() override {
    reader_callback_ = nullptr;
    if (const auto on_cancel = std::exchange(on_cancel_, nullptr)) {
      on_cancel(read_pending_);
    }
  }

 private:
  std::shared_ptr<body_source> inner_;
  part_observer on_part_;
  cancel_observer on_cancel_;
  callback reader_callback_;
  bool read_pending_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_OBSERVED_BODY_H_
