#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSlots = 18;  // Of a backend server of sidecar_fleet.

scripted_reply Serve(const std::string& header) {
  const bool slow = header.starts_with("GET /safe/slow");
  return {.bytes = sidecar_fleet::SignedResponse(200, "a1", "ok"),
          .delay = slow ? seconds(7) : milliseconds(5)};
}

/// A sidecar beside callers, and another one beside a server whose slots are
/// all taken for seven seconds. The requests before were quick, so a short wait
/// is expected.
class no_free_slot_fixture : public sidecar_fleet {
 protected:
  no_free_slot_fixture() : server_(&Serve) {
    route_timeout_ = kLongDeadline;
    AddSidecar(&server_);
    AddSidecar(nullptr, "front");
    PublishConfig(3);
    WaitUntilOffered(1);
    caller_ = CallerAddress(1);
    for (int i = 0; i < 20; ++i) {
      REQUIRE(CallOnce(caller_, "/safe/quick", kLongDeadline).status == 200);
      REQUIRE(CallOnce(caller_, "/order/quick", kLongDeadline).status == 200);
    }
    requests_at_start_ = server_.Requests() + kSlots;
    slow_.reserve(kSlots);
    for (int i = 0; i < kSlots; ++i) {
      slow_.push_back(Start("/safe/slow", kLongDeadline));
    }
    while (server_.Requests() < requests_at_start_) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }

  std::future<raw_response> Start(const std::string& target,
                                  milliseconds deadline) {
    return std::async(std::launch::async, CallOnce, caller_, target, deadline);
  }

  static constexpr milliseconds kLongDeadline{8000};
  concurrent_server server_;
  int requests_at_start_ = 0;
  std::vector<std::future<raw_response>> slow_;

 private:
  static raw_response CallOnce(const std::string& address,
                               const std::string& target,
                               milliseconds deadline) {
    raw_client client(address);
    return client.Call("GET", target,
                       "Pomelohall-Attempt-Id: a1\r\n"
                       "Pomelohall-Request-Deadline: " +
                           std::to_string(deadline.count()) + "\r\n");
  }

  std::string caller_;
};

// Guards against an order that waits for a slot until its caller's deadline,
// without being sent to a server and without a refusal: if the daemon of the
// caller stops meanwhile, the connection is closed without a response.
TEST_CASE_METHOD(no_free_slot_fixture,
                 "Sidecar_NoSlotBecomesFree_RefusesTheOrder", "[sidecar]") {
  const auto sent_at = std::chrono::steady_clock::now();
  const auto refused = Start("/order/1", kLongDeadline).get();
  const auto waited = std::chrono::steady_clock::now() - sent_at;
  CHECK(refused.status == 503);
  CHECK_FALSE(refused.Field("Retry-After").empty());
  // The stop grace period, within which the process of a caller's daemon ends.
  CHECK(waited < seconds(6));
  CHECK(server_.Requests() == requests_at_start_);
  for (auto& call : slow_) CHECK(call.get().status == 200);
}

// Guards against an order that no server has received and whose caller is told
// that it may have run, so that it cannot be sent again: the daemon beside the
// server refused it only after the daemon of the caller had given up.
TEST_CASE_METHOD(no_free_slot_fixture,
                 "Sidecar_OrderWaitsUntilItsDeadline_SaysNotRun", "[sidecar]") {
  constexpr int kOrders = 20;
  std::vector<std::future<raw_response>> orders;
  orders.reserve(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    orders.push_back(Start("/order/1", milliseconds(1000)));
    // Spread over the phases of the periodic check.
    std::this_thread::sleep_for(milliseconds(7));
  }
  int not_run = 0;
  for (auto& order : orders) not_run += order.get().status == 503 ? 1 : 0;
  CHECK(not_run == kOrders);
  CHECK(server_.Requests() == requests_at_start_);
}

// Guards against an order that waits at its caller's daemon for one of the
// connections to the other daemon, which then hears of it too late to refuse it
// in time: its caller is told that it may have run.
TEST_CASE_METHOD(no_free_slot_fixture,
                 "Sidecar_OrderWaitsForAConnection_SaysNotRun", "[sidecar]") {
  constexpr int kOrders = 230;  // A daemon opens 200 connections to another.
  std::vector<std::future<raw_response>> orders;
  orders.reserve(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    orders.push_back(Start("/order/1", milliseconds(1000)));
    // Connections that open in a burst delay each other.
    std::this_thread::sleep_for(milliseconds(2));
  }
  int not_run = 0;
  for (auto& order : orders) not_run += order.get().status == 503 ? 1 : 0;
  CHECK(not_run == kOrders);
  CHECK(server_.Requests() == requests_at_start_);
}

}  // namespace
}  // namespace pomelohall
