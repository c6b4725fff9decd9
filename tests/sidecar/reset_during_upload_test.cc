#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "backend/connection_pool.h"
#include "early_answer_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

// More than the socket buffers between a daemon and the server hold, so that
// the daemon's write waits.
constexpr std::size_t kUploadBytes = 8UL * 1024 * 1024;
// A daemon reads an answer of up to 64 KiB before it passes it on.
constexpr std::size_t kReadWhole = 64UL * 1024;
constexpr std::array<std::size_t, 3> kPartSizes{6, 60'000, 300'000};

std::string AnswerWithoutLength(std::size_t size) {
  return "HTTP/1.1 200 OK\r\nPomelohall-Attempt-Id: a1\r\n"
         "Pomelohall-Response-Signature: sig\r\n\r\n" +
         std::string(size, 'p');
}

/// A caller's daemon without a backend server, and one beside a server that
/// answers uploads before it has read them.
class early_answer_fixture : public sidecar_fleet {
 protected:
  early_answer_fixture() {
    max_body_bytes_ = 2 * kUploadBytes;
    AddSidecar(nullptr, "front");
    AddSidecar(&server_);
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  raw_response Upload(std::size_t entry, bool chunked,
                      const std::string& version = "1.1") {
    AnnounceAgain();
    raw_client client(CallerAddress(entry));
    const std::string content(kUploadBytes, 'u');
    std::string request = "POST /order/1 HTTP/" + version +
                          "\r\nHost: test\r\nPomelohall-Attempt-Id: a1\r\n"
                          "Pomelohall-Request-Deadline: 2500\r\n";
    if (chunked) {
      request += "Transfer-Encoding: chunked\r\n\r\n800000\r\n" + content +
                 "\r\n0\r\n\r\n";
    } else {
      request += "Content-Length: " + std::to_string(content.size()) +
                 "\r\n\r\n" + content;
    }
    client.Send(request);
    return client.Read();
  }

  /// Uploads at both daemons, in both framings, for each size of an answer.
  /// `check` gets the size of the part and the response.
  template <typename Check>
  void ForEachUpload(answer_end end, int repetitions, Check check) {
    for (const auto size : kPartSizes) {
      for (const std::size_t entry : {0U, 1U}) {
        for (const bool chunked : {false, true}) {
          for (int i = 0; i < repetitions; ++i) {
            INFO(size << " bytes at VM " << entry << ", chunked upload: "
                      << chunked << ", repetition " << i);
            // Every other answer follows an interim one.
            answer_ = {.bytes = (i % 2 == 1 ? "HTTP/1.1 102 X\r\n\r\n" : "") +
                                AnswerWithoutLength(size),
                       .end = end};
            check(size, Upload(entry, chunked));
          }
        }
      }
    }
  }

  early_answer answer_;  // Set only between requests.
  early_answer_server server_{[this](const std::string&) { return answer_; }};
};

/// A request body that is passed on when the test says so.
class held_body final : public body_source {
 public:
  void Read(callback done) override { pending_ = std::move(done); }
  void Cancel() override { pending_ = nullptr; }

  bool IsWanted() const { return pending_ != nullptr; }
  void Deliver() {
    static constexpr std::string_view kBytes = "part";
    if (pending_) std::exchange(pending_, nullptr)(body_part{kBytes, false});
  }

 private:
  callback pending_;
};

}  // namespace

// Guards against a part of an answer that a caller gets as the whole, because
// the write of the upload took the error of the reset and the read after it saw
// only the end of the connection.
TEST_CASE_METHOD(early_answer_fixture,
                 "Sidecar_ResetDuringUpload_AnswerIsBrokenOff", "[upload]") {
  constexpr int kRepetitions = 6;
  int taken_as_whole = 0;
  ForEachUpload(answer_end::kReset, kRepetitions,
                [&](std::size_t size, const raw_response& response) {
                  const bool replaced = response.status == 502;
                  if (!replaced && response.complete) ++taken_as_whole;
                  CHECK((replaced || !response.complete));
                  if (size < kReadWhole) CHECK(replaced);
                });
  CHECK(taken_as_whole == 0);
}

// Guards against a sound answer without a length that callers do not get,
// because of what happens to the upload after the server has ended its answer.
TEST_CASE_METHOD(early_answer_fixture,
                 "Sidecar_AnswerEndedDuringUpload_IsWhole", "[upload]") {
  constexpr int kRepetitions = 2;
  for (const auto end :
       {answer_end::kClose, answer_end::kEndOnly, answer_end::kEndThenReset}) {
    INFO("end " << static_cast<int>(end));
    ForEachUpload(end, kRepetitions,
                  [](std::size_t size, const raw_response& response) {
                    CHECK(response.status == 200);
                    CHECK(response.complete);
                    CHECK(response.body.size() == size);
                  });
  }
}

// Guards against a part of an answer that ends like a whole one for a caller
// that cannot read chunks.
TEST_CASE_METHOD(early_answer_fixture,
                 "Sidecar_ResetDuringUploadOfHttp10_DoesNotLookComplete",
                 "[upload]") {
  constexpr int kRepetitions = 5;
  for (const std::size_t entry : {0U, 1U}) {
    for (int i = 0; i < kRepetitions; ++i) {
      INFO("at VM " << entry << ", repetition " << i);
      answer_ = {.bytes = AnswerWithoutLength(kPartSizes.back()),
                 .end = answer_end::kReset};
      const auto response = Upload(entry, false, "1.0");
      CHECK((response.status == 502 || !response.complete));
    }
  }
}

// Guards against a result of the read that is handled before that of the write
// that took the error of the reset: the order in which the two complete.
TEST_CASE("Exchange_WriteTakesTheReset_BodyIsCutShort", "[upload]") {
  for (const auto end : {answer_end::kReset, answer_end::kEndThenReset}) {
    for (const bool read_completes_first : {false, true}) {
      INFO("end " << static_cast<int>(end)
                  << ", the read completes first: " << read_completes_first);
      early_answer_server server([end](const std::string&) {
        return early_answer{.bytes = AnswerWithoutLength(6), .end = end};
      });
      boost::asio::io_context io{1};
      const auto work_guard = boost::asio::make_work_guard(io);
      connection_pool pool(io, {.echo_field = "Pomelohall-Attempt-Id",
                                .peer_echoes_always = true,
                                .allow_close_delimited = true});
      const auto upload = std::make_shared<held_body>();
      std::shared_ptr<body_source> answer;
      std::optional<result<body_part>> part;
      const auto read = [&] {
        part.reset();
        answer->Read([&](result<body_part> got) { part = std::move(got); });
      };
      outgoing_request request{
          .head = {.method = "POST",
                   .target = "/",
                   .fields = {{"Host", "test"},
                              {"Pomelohall-Attempt-Id", "a1"}},
                   .framing = body_framing::kChunked},
          .body = upload};
      const auto call =
          pool.Start(server.Address(), std::move(request),
                     {.on_sent = nullptr,
                      .on_response = [&](result<incoming_response> response) {
                        REQUIRE(response.has_value());
                        answer = response->body;
                        read();
                      }});
      // Up to the first part of the request, and the answer.
      while (!upload->IsWanted()) io.run_one();
      upload->Deliver();
      while (!part || !upload->IsWanted()) io.run_one();
      REQUIRE(part->has_value());
      read();
      while (server.Ended() == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
      }
      // Posted, the write starts after the reset was noticed, and its result is
      // queued behind that of the read.
      if (read_completes_first) {
        boost::asio::post(io, [&] { upload->Deliver(); });
      } else {
        upload->Deliver();
      }
      io.run_for(std::chrono::seconds(2));
      REQUIRE(part.has_value());
      const bool whole = part->has_value() && (*part)->last;
      CHECK(whole == (end == answer_end::kEndThenReset));
      call->Cancel();
    }
  }
}

}  // namespace pomelohall
