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

/// Deterministic object store for tests, without threads or a real clock. Calls
/// take effect immediately; Advance() delivers their results in call order.
class fake_object_store : public object_store {
 public:
  fake_object_store();

  /// While down, calls have no effect and fail with `kPlatformUnavailable` (not
  /// run); pending waits end in the same way.
  void SetDown(bool down);
  /// Sets the delay between later calls and their results.
  void SetDelay(duration delay) { delay_ = delay; }
  /// The next `count` writes take effect, but fail with `kPlatformUnavailable`
  /// (unknown), as if their responses were lost.
  void LoseResponses(int count) { lost_responses_left_ = count; }
  /// Runs `hook` once, before the next call of `verb` takes effect. Use it to
  /// simulate a concurrent write or a failure between two calls.
  void BeforeNext(const std::string& verb, std::function<void()> hook);

  /// Advances the time by `span` and delivers the results that are due,
  /// including those of calls made by the callbacks. Returns the number
  /// delivered.
  std::size_t Advance(duration span = duration(0));

  /// Number of calls of a verb: get, list, create, update, delete, watch.
  int Calls(const std::string& verb) const;
  /// The stored objects, for direct reads and writes by the test.
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
  void PostResult(std::function<void()> deliver);
  void Write(const std::string& verb, object_callback done,
             const std::function<result<stored_object>()>& effect);
  void FinishWaits(const std::function<bool(const wait&)>& ended);
  bool HasChanged(const wait& waiting) const;

  object_table table_;
  std::multimap<duration, std::function<void()>> pending_results_;
  std::vector<wait> waits_;
  std::map<std::string, int> calls_;
  std::map<std::string, std::function<void()>> hooks_;
  duration now_{0};
  duration delay_{0};
  int lost_responses_left_ = 0;
  bool down_ = false;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_FAKE_OBJECT_STORE_H_
