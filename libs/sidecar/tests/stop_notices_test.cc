#include "stop_notices.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class stop_notices_fixture {
 protected:
  const instant now_ = instant(seconds(100));
  stop_notices notices_;
};

// Guards against requests that cross the notice on another connection and keep
// a deadline after the end of their daemon.
TEST_CASE_METHOD(stop_notices_fixture,
                 "StopNotices_RequestInTransitAtTheNotice_IsLimited",
                 "[sidecar]") {
  notices_.Add("a:1", now_ + seconds(5), now_);
  CHECK(notices_.LatestDeadline("a:1", now_ - seconds(3)) == now_ + seconds(5));
  CHECK(notices_.LatestDeadline("a:1", now_ + milliseconds(300)) ==
        now_ + seconds(5));
  CHECK(notices_.LatestDeadline("b:1", now_) == instant::max());
}

// Guards against a deadline of the process that stopped for requests of the
// next one at the same address.
TEST_CASE_METHOD(stop_notices_fixture,
                 "StopNotices_RequestOfTheNextProcess_IsNotLimited",
                 "[sidecar]") {
  notices_.Add("a:1", now_ + seconds(5), now_);
  CHECK(notices_.LatestDeadline("a:1", now_ + milliseconds(2200)) ==
        instant::max());
}

// Guards against memory that grows with each address that a notice names.
TEST_CASE_METHOD(stop_notices_fixture,
                 "StopNotices_TooManySenders_KeepsTheFirst", "[sidecar]") {
  for (int i = 0; i < 1001; ++i) {
    notices_.Add(std::to_string(i), now_ + seconds(5), now_);
  }
  CHECK(notices_.LatestDeadline("999", now_) == now_ + seconds(5));
  CHECK(notices_.LatestDeadline("1000", now_) == instant::max());
  const auto later = now_ + seconds(6);
  notices_.Add("1000", later + seconds(5), later);
  CHECK(notices_.LatestDeadline("1000", later) == later + seconds(5));
}

}  // namespace
}  // namespace pomelohall
