#ifndef POMELOHALL_CALLER_WRITE_TURNS_H_
#define POMELOHALL_CALLER_WRITE_TURNS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/time.h"

namespace pomelohall {

// A connection whose large responses are written in turns.
class turn_writer {
 public:
  virtual ~turn_writer() = default;
  // Starts to write the response that waits for its turn. Returns false if it
  // does not wait any more.
  virtual bool BeginTurn() = 0;
  // Returns how many bytes of the response that is being written the peer has
  // not acknowledged yet; nothing if the connection broke before it was
  // written.
  virtual std::optional<std::uint64_t> UnacknowledgedBytes() const = 0;
};

// Order in which a server that stops writes large responses: one after the
// other, the smallest first. If all were written at once over a link that is
// too slow for them, each would be cut at the end.
//
// A response that makes no progress or takes long does not hold up the others,
// so that a caller that reads slowly or not at all delays them little. If the
// rate of the link is known, further responses begin beside those that leave
// most of it unused.
class write_turns {
 public:
  // @param link_bytes_per_second Rate at which the link to the callers carries
  //   responses; 0 if unknown.
  explicit write_turns(double link_bytes_per_second = 0)
      : link_bytes_per_second_(link_bytes_per_second) {}

  // Sets when the connections close. Shortly before, a response that could not
  // be written by then, at the highest rate seen and at that of the link, does
  // not get a turn.
  void SetEnd(instant end) { end_ = end; }

  // Returns whether the response may be written now. Otherwise BeginTurn()
  // follows, but not if there is no time for it.
  bool Request(const std::shared_ptr<turn_writer>& writer, std::uint64_t bytes,
               instant now);

  // Ends turns and begins others. Call it every few milliseconds.
  void Poll(instant now);

 private:
  struct turn {
    std::weak_ptr<turn_writer> writer;
    std::uint64_t bytes = 0;
    instant began_at;
    instant progress_at;
    std::uint64_t unacknowledged = 0;
  };

  // Returns whether the turn has ended or does not hold up others any more.
  bool Update(turn& current, instant now);
  bool HasTime(std::uint64_t bytes, instant now) const;
  // Returns whether the link will have sent the responses being written before
  // the next polls. False if its rate is unknown.
  bool IsNearlyIdle() const;
  // Returns how many further responses may begin.
  std::size_t Room(instant now);

  const double link_bytes_per_second_;
  instant end_ = instant::max();
  std::vector<turn> current_;
  std::vector<turn> waiting_;
  double best_bytes_per_second_ = 0;  // 0: not known yet.
  // Mean rate of the responses being written when others began beside them; 0
  // if none have.
  double mean_bytes_per_second_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_CALLER_WRITE_TURNS_H_
