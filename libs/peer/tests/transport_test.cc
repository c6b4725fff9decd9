#include "peer/transport.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "transport_fixture.h"

namespace pomelohall {

// Guards against a second link in the opposite direction: the accepting side
// must send on the link on which it received the greeting of the peer.
TEST_CASE("Transport_AnswerToDialler_UsesTheSameLink") {
  test_peer first;
  test_peer second;
  first->Send(second.Address(), "question");
  REQUIRE(Eventually([&] { return second.Received("question"); }));
  CHECK(second.Frames().front().from == first.Address());
  second->Send(first.Address(), "answer");
  REQUIRE(Eventually([&] { return first.Received("answer"); }));
  CHECK(first.Frames().front().from == second.Address());
  CHECK(first->Counters().links_opened == 1);
  CHECK(second->Counters().links_opened == 1);
}

// Guards against frames that are reordered, lost or merged, on an open link or
// while queued until it opens.
TEST_CASE("Transport_ManyFrames_ArriveWholeAndInOrder") {
  test_peer sender;
  test_peer receiver;
  constexpr std::size_t kCount = 2000;
  for (std::size_t i = 0; i < kCount; ++i) {
    sender->Send(receiver.Address(),
                 std::to_string(i) + std::string(i % 300, '.'));
  }
  REQUIRE(Eventually([&] { return receiver.Frames().size() == kCount; }));
  const auto frames = receiver.Frames();
  for (std::size_t i = 0; i < kCount; ++i) {
    REQUIRE(frames[i].frame == std::to_string(i) + std::string(i % 300, '.'));
  }
}

// Guards against a deadlock, or two links used in one direction each, when both
// sides dial at the same time.
TEST_CASE("Transport_SimultaneousDial_BothDirectionsDeliver") {
  for (int round = 0; round < 10; ++round) {
    test_peer first;
    test_peer second;
    std::thread other([&] { second->Send(first.Address(), "from second"); });
    first->Send(second.Address(), "from first");
    other.join();
    REQUIRE(Eventually([&] { return second.Received("from first"); }));
    REQUIRE(Eventually([&] { return first.Received("from second"); }));
    REQUIRE(first.SendUntilReceived(second, "later from first"));
    REQUIRE(second.SendUntilReceived(first, "later from second"));
    CHECK(first->Counters().links_opened <= 2);
  }
}

// Guards against a peer that stays unreachable after its restart.
TEST_CASE("Transport_PeerRestartsAtTheSameAddress_LinkIsOpenedAgain") {
  test_peer survivor;
  std::string address;
  {
    test_peer old;
    address = old.Address();
    REQUIRE(survivor.SendUntilReceived(old, "before"));
  }
  transport_options options;
  options.listen_address = address;
  test_peer restarted(options);
  REQUIRE(restarted.Started());
  CHECK(survivor.SendUntilReceived(restarted, "after"));
  CHECK(restarted.SendUntilReceived(survivor, "answer"));
}

// Guards against frames for an unreachable peer that stay queued, or are
// dropped without being counted.
TEST_CASE("Transport_UnreachablePeer_FramesAreDroppedAndCounted") {
  std::string unused;
  {
    const test_peer gone;
    unused = gone.Address();
  }
  test_peer sender;
  sender->Send(unused, "lost");
  sender->Send("not an address", "lost");
  CHECK(Eventually([&] { return sender->Counters().frames_dropped == 2; }));
}

// Guards against an unbounded send queue: it holds at most max_queue_bytes.
TEST_CASE("Transport_QueueFull_FurtherFramesAreDropped") {
  transport_options options;
  options.max_queue_bytes = 1000;
  test_peer sender(options);
  test_peer receiver;
  sender->Send(receiver.Address(), std::string(1001, 'x'));
  CHECK(sender->Counters().frames_dropped == 1);
  CHECK(sender.SendUntilReceived(receiver, "small"));
}

// Guards against links that stay open without traffic.
TEST_CASE("Transport_IdleLink_IsClosedAndOpenedOnDemand") {
  transport_options options;
  options.idle_close_ms = 50;
  test_peer first(options);
  test_peer second;
  REQUIRE(first.SendUntilReceived(second, "before"));
  CHECK(Eventually([&] {
    first->Send(second.Address(), "again");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    return first->Counters().links_opened > 1;
  }));
  CHECK(first.SendUntilReceived(second, "after"));
}

// Guards against a simulated partition that lets frames through in either
// direction, or remains after it is lifted.
TEST_CASE("Transport_BlockedPeer_NoFramesUntilUnblocked") {
  test_peer first;
  test_peer second;
  REQUIRE(first.SendUntilReceived(second, "before"));
  first->SetBlocked(second.Address(), true);
  first->Send(second.Address(), "blocked out");
  second->Send(first.Address(), "blocked in");
  REQUIRE(Eventually([&] { return first->Counters().frames_dropped == 2; }));
  CHECK_FALSE(first.Received("blocked in"));
  first->SetBlocked(second.Address(), false);
  CHECK(first.SendUntilReceived(second, "healed"));
  CHECK_FALSE(second.Received("blocked out"));
}

// Guards against byte counters without the framing: a payload of 1000 bytes has
// a header of 4 bytes, or of 8 with the masking key of the dialling side.
TEST_CASE("Transport_Counters_IncludeFraming") {
  test_peer first;
  test_peer second;
  // The sender counts a frame after writing it, possibly later than the
  // receiver.
  const auto counted = [&](std::uint64_t to_second, std::uint64_t to_first) {
    return Eventually([&] {
      const auto one = first->Counters();
      const auto two = second->Counters();
      return one.frames_sent == to_second && two.frames_received == to_second &&
             two.frames_sent == to_first && one.frames_received == to_first;
    });
  };
  first->Send(second.Address(), "open");
  REQUIRE(Eventually([&] { return second.Received("open"); }));
  second->Send(first.Address(), "open");
  REQUIRE(counted(2, 1));  // Includes the greeting to the second peer.
  const auto before = second->Counters();
  second->Send(first.Address(), std::string(1000, 'x'));
  first->Send(second.Address(), std::string(1000, 'x'));
  REQUIRE(counted(3, 2));
  const auto after = second->Counters();
  CHECK(after.bytes_sent - before.bytes_sent == 1004);
  CHECK(after.bytes_received - before.bytes_received == 1008);
  CHECK(after.bytes_received == first->Counters().bytes_sent);
}

// Guards against a stop that drops queued frames, even if the link is not open
// yet.
TEST_CASE("Transport_StopWithGrace_QueuedFramesArrive") {
  test_peer receiver;
  constexpr std::size_t kCount = 200;
  {
    test_peer sender;
    for (std::size_t i = 0; i < kCount; ++i) {
      sender->Send(receiver.Address(), std::string(10'000, 'x'));
    }
    sender->Stop(20'000);
    sender->Stop(0);
    sender->Send(receiver.Address(), "after the stop");
    // The greeting counts as a frame.
    CHECK(sender->Counters().frames_sent == kCount + 1);
    CHECK(sender->Counters().frames_dropped == 1);
  }
  CHECK(Eventually([&] { return receiver.Frames().size() == kCount; }));
  CHECK_FALSE(receiver.Received("after the stop"));
}

// Guards against a start that succeeds although the address cannot be bound.
TEST_CASE("Transport_AddressInUse_StartFails") {
  test_peer first;
  transport_options options;
  options.listen_address = first.Address();
  const auto second = MakeWebsocketTransport(options);
  const auto started = second->Start(
      [](const std::string&, const std::string&) { return true; });
  REQUIRE_FALSE(started.has_value());
  CHECK(started.error().kind == error_kind::kPeerUnreachable);
}

// Guards against data races between senders.
TEST_CASE("Transport_ConcurrentSenders_EveryFrameArrives") {
  test_peer sender;
  test_peer receiver;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 500; ++i) sender->Send(receiver.Address(), "frame");
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK(Eventually([&] { return receiver.Frames().size() == 2000; }));
}

}  // namespace pomelohall
