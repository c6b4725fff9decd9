#include "caller/body_prefix.h"

#include <utility>

namespace pomelohall {
namespace {

class prefix_reader : public std::enable_shared_from_this<prefix_reader> {
 public:
  prefix_reader(std::shared_ptr<body_source> source, std::size_t limit,
                std::function<void(result<body_prefix>)> done,
                std::function<void()> on_part, instant until)
      : source_(std::move(source)),
        limit_(limit),
        done_(std::move(done)),
        on_part_(std::move(on_part)),
        until_(until) {}

  void Read() {
    source_->Read([self = shared_from_this()](result<body_part> part) {
      self->OnPart(std::move(part));
    });
  }

 private:
  void OnPart(result<body_part> part) {
    if (!part) {
      done_(tl::unexpected(part.error()));
      return;
    }
    bytes_.append(part->bytes);
    if (!part->last && bytes_.size() <= limit_ && MonotonicNow() < until_) {
      if (on_part_) on_part_();
      Read();
      return;
    }
    done_(body_prefix{std::make_shared<const std::string>(std::move(bytes_)),
                      part->last});
  }

  std::shared_ptr<body_source> source_;
  const std::size_t limit_;
  std::function<void(result<body_prefix>)> done_;
  std::function<void()> on_part_;
  const instant until_;
  std::string bytes_;
};

}  // namespace

void ReadBodyPrefix(std::shared_ptr<body_source> source, std::size_t limit,
                    std::function<void(result<body_prefix>)> done,
                    std::function<void()> on_part, instant until) {
  std::make_shared<prefix_reader>(std::move(source), limit, std::move(done),
                                  std::move(on_part), until)
      ->Read();
}

void DiscardBody(const std::shared_ptr<body_source>& source,
                 std::function<void()> done) {
  ReadBodyPrefix(
      source, kMaxBufferedBodyBytes,
      [source, done = std::move(done)](const result<body_prefix>& start) {
        if (start && !start->complete) source->Cancel();
        if (done) done();
      });
}

}  // namespace pomelohall
