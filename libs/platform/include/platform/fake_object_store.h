#ifndef POMELOHALL_PLATFORM_FAKE_OBJECT_STORE_H_
#define POMELOHALL_PLATFORM_FAKE_OBJECT_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "platform/object_store.h"
#include "platform/object_table.h"

namespace pomelohall {

/// Deterministic object store for tests, without threads and clocks. A call
/// takes effect at once; its answer is delivered by Advance(), in the order of
/// the calls.
class fake_object_store : public object_store {
 public:
  fake_object_store();

  /// While down, calls have no effect and answer `kPlatformUnavailable` (not
  /// run); waits in progress end the same way.
  void SetDown(bool down);
  /// Time from a later call to its answer.
  void SetDelay(duration delay) { delay_ = delay; }
  /// The next `count` writes take effect, and their answers are replaced by
  /// `kPlatformUnavailable` (unknown).
  void LoseAnswers(int count) { lose_answers_ = count; }
  /// Runs `hook` before the next call of `verb` takes effect, once. Use it to
  /// place another writer or a fault between two steps.
  void BeforeNext(const std::string& verb, std::function<void()> hook);

  /// Moves time on by `span` and delivers the answers that are due, also those
  /// of calls made by the callbacks if they are due. Returns their number.
  std::size_t Advance(duration span = duration(0));

  /// Number of calls of a verb: get, list, create, update, delete, watch.
  int Calls(const std::string& verb) const;
  /// The objects, for the test's own reads and writes.
  object_table& Table() { return table_; }

  void Get(const std::string& plural, const std::string& name,
           object_callback done) override;
  void List(const std::string& plural, list_callback done) override;
  void Create(const stored_object& object, object_callback done) override;
  void Update(const stored_object& object, object_callback done) override;
  void Delete(const stored_object& object, object_callback done) override;
  void WaitForChange(const std::string& plural, const std::string& name,
                     const std::string& known, std::uint32_t timeout_ms,
                     object_callback done) override;

 private:
  struct wait {
    std::string plural;
    std::string name;
    std::string known;
    duration due;
    object_callback done;
  };

  void Count(const std::string& verb);
  void Answer(std::function<void()> deliver);
  void Write(const std::string& verb, object_callback done,
             const std::function<result<stored_object>()>& effect);
  void EndWaits(const std::function<bool(const wait&)>& ended);
  bool HasChanged(const wait& waiting) const;

  object_table table_;
  std::multimap<duration, std::function<void()>> answers_;
  std::vector<wait> waits_;
  std::map<std::string, int> calls_;
  std::map<std::string, std::function<void()>> hooks_;
  duration now_{0};
  duration delay_{0};
  int lose_answers_ = 0;
  bool down_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_FAKE_OBJECT_STORE_H_
