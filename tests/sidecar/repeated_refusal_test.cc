#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "concurrent_server.h"
#include "sidecar_fleet.h"

namespace pomelohall {
namespace {

using std::chrono::milliseconds;

/// Whose ID a refusal bears.
enum class refusal_id { kNone, kOfItsRequest };

/// How a refusal is framed.
struct refusal_form {
  const char* name;
  const char* start_line;
  const char* fields;
  const char* body;
};

constexpr char kNotExecuted[] = "Pomelohall-Not-Executed: 1\r\n";

const std::vector<refusal_form>& RefusalForms() {
  static const std::vector<refusal_form> forms{
      {"503", "HTTP/1.1 503 X\r\n", "Content-Length: 0\r\n", ""},
      {"503 with body", "HTTP/1.1 503 X\r\n", "Content-Length: 4\r\n", "full"},
      {"503 in chunks", "HTTP/1.1 503 X\r\n", "Transfer-Encoding: chunked\r\n",
       "4\r\nfull\r\n0\r\n\r\n"},
      {"503 behind 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 X\r\n",
       "Content-Length: 0\r\n", ""},
      {"429", "HTTP/1.1 429 X\r\n", "Content-Length: 0\r\nRetry-After: 1\r\n",
       ""},
      {"429 with body", "HTTP/1.1 429 X\r\n", "Content-Length: 4\r\n", "busy"},
      {"400", "HTTP/1.1 400 X\r\n", "Content-Length: 0\r\n", ""},
      // Last, as the sidecar stops using a backend server that refuses so.
      {"421", "HTTP/1.1 421 X\r\n", "Content-Length: 0\r\n", ""},
  };
  return forms;
}

std::string Refusal(const refusal_form& form, const std::string& id) {
  std::string text = std::string(form.start_line) + kNotExecuted;
  if (!id.empty()) text += "Pomelohall-Attempt-Id: " + id + "\r\n";
  return text + form.fields + "\r\n" + form.body;
}

/// Counts how often each request ran. Thread-safe.
class run_counter {
 public:
  void Add(const std::string& id) {
    const std::lock_guard lock(mutex_);
    ++runs_[id];
  }
  int Of(const std::string& id) {
    const std::lock_guard lock(mutex_);
    return runs_[id];
  }

 private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

/// Two sidecars: 0 without and 1 beside a backend server, which runs requests
/// to /order/run and /safe/run, refuses those to /order/refuse, and behaves as
/// the test says beyond that.
class refusing_fleet : public sidecar_fleet {
 public:
  refusing_fleet() {
    AddSidecar(nullptr, "front");
    AddSidecar(&server_);
    PublishConfig(3);
    WaitUntilOffered(1);
  }

  /// Sends a request with its own ID on a new connection.
  raw_response Send(std::size_t index, const std::string& method,
                    const std::string& target, const std::string& id) {
    raw_client client(CallerAddress(index));
    return client.Call(method, target,
                       "Pomelohall-Attempt-Id: " + id +
                           "\r\nPomelohall-Request-Deadline: 2500\r\n");
  }

  std::string NextId() { return "r" + std::to_string(++last_id_); }

  /// Changes the reply to the next request only. Set while none is in progress.
  std::function<void(scripted_reply&)> change_next_reply_;
  const refusal_form* form_ = &RefusalForms().front();
  run_counter runs_;
  int last_id_ = 0;
  concurrent_server server_{
      [this](const std::string& header) { return Reply(header); }};

 private:
  scripted_reply Reply(const std::string& header) {
    const auto id = HeaderValue(header, "Pomelohall-Attempt-Id");
    scripted_reply reply;
    if (header.starts_with("POST /order/refuse")) {
      reply.bytes = Refusal(*form_, id);
    } else {
      runs_.Add(id);
      reply.bytes = SignedResponse(200, id, "done");
    }
    if (const auto change = std::exchange(change_next_reply_, nullptr)) {
      change(reply);
    }
    return reply;
  }
};

bool IsPromiseOfNotRun(int status) {
  return status == 503 || status == 429 || status == 421 || status == 408;
}

// Guards against a request that runs and is reported as not run, or runs again,
// because a copy of an earlier refusal precedes its response.
TEST_CASE_METHOD(refusing_fleet,
                 "RepeatedRefusal_BeforeTheNextResponse_IsNoPromise",
                 "[refusal]") {
  for (const auto& form : RefusalForms()) {
    for (const std::size_t entry : {0U, 1U}) {
      for (const auto id_kind :
           {refusal_id::kNone, refusal_id::kOfItsRequest}) {
        INFO(form.name << ", entry " << entry << ", id "
                       << static_cast<int>(id_kind));
        const auto earlier = NextId();
        change_next_reply_ = [&](scripted_reply& reply) {
          reply.before_next_response = Refusal(
              form, id_kind == refusal_id::kNone ? std::string() : earlier);
        };
        CHECK(Send(entry, "POST", "/order/run", earlier).status == 200);
        const auto id = NextId();
        const auto response = Send(entry, "POST", "/order/run", id);
        CHECK(runs_.Of(id) == 1);
        CHECK_FALSE(IsPromiseOfNotRun(response.status));
        CHECK(response.status == (id_kind == refusal_id::kNone ? 502 : 200));
        // Neither is it a promise about an idempotent request.
        const auto third = NextId();
        change_next_reply_ = [&](scripted_reply& reply) {
          reply.before_next_response = Refusal(form, "");
        };
        CHECK(Send(entry, "GET", "/safe/run", third).status == 200);
        CHECK_FALSE(IsPromiseOfNotRun(
            Send(entry, "GET", "/safe/run", NextId()).status));
      }
    }
  }
}

// Guards against a request that runs at a second backend server because a copy
// of an earlier refusal precedes its response at the first.
TEST_CASE_METHOD(refusing_fleet, "RepeatedRefusal_WithASecondServer_RunsOnce",
                 "[refusal]") {
  run_counter runs;
  const auto run_then_repeat = [&](const std::string& header) {
    const auto id = HeaderValue(header, "Pomelohall-Attempt-Id");
    runs.Add(id);
    scripted_reply reply{.bytes = SignedResponse(200, id, "done")};
    reply.before_next_response = Refusal(RefusalForms().front(), "");
    return reply;
  };
  concurrent_server first(run_then_repeat);
  concurrent_server second(run_then_repeat);
  AddSidecar(&first);
  AddSidecar(&second);
  WaitUntilOffered(3);
  AnnounceDraining(1);  // The server of the fixture.
  for (int i = 0; i < 20; ++i) {
    const auto id = NextId();
    const auto status = Send(0, "POST", "/order/run", id).status;
    CHECK((status == 200 || status == 502));
    CHECK(runs.Of(id) == 1);
  }
}

// Guards against a copy of a refusal that arrives before the next request and
// is taken as the response to it.
TEST_CASE_METHOD(refusing_fleet,
                 "RepeatedRefusal_BeforeTheNextRequest_IsDiscarded",
                 "[refusal]") {
  int late_writes = 0;
  for (const auto& form : RefusalForms()) {
    for (const std::size_t entry : {0U, 1U}) {
      for (const bool late : {false, true}) {
        INFO(form.name << ", entry " << entry << ", late " << late);
        change_next_reply_ = [&](scripted_reply& reply) {
          if (late) {
            reply.late_bytes = Refusal(form, "");
          } else {
            reply.bytes += Refusal(form, "");
          }
        };
        CHECK(Send(entry, "POST", "/order/run", NextId()).status == 200);
        if (late) {
          ++late_writes;
          while (server_.LateWrites() < late_writes) {
            std::this_thread::sleep_for(milliseconds(1));
          }
          // Longer than written bytes need over loopback.
          std::this_thread::sleep_for(milliseconds(20));
        }
        const auto id = NextId();
        CHECK(Send(entry, "POST", "/order/run", id).status == 200);
        CHECK(runs_.Of(id) == 1);
      }
    }
  }
}

// Guards against a refusal without the request's ID that counts on a connection
// on which it may be a copy, and against one that does not count on a new one.
TEST_CASE_METHOD(refusing_fleet, "Refusal_WithoutId_CountsOnlyOnANewConnection",
                 "[refusal]") {
  const auto omit_id = [](scripted_reply& reply) {
    reply.bytes = Refusal(RefusalForms().front(), "");
  };
  change_next_reply_ = omit_id;
  CHECK(Send(1, "POST", "/order/refuse", NextId()).status == 503);
  CHECK(Send(1, "POST", "/order/run", NextId()).status == 200);
  change_next_reply_ = omit_id;
  CHECK(Send(1, "POST", "/order/refuse", NextId()).status == 502);
}

// Guards against a request that is sent again with its ID after a refusal,
// runs, and is reported as not run because the copy of its first refusal
// precedes its response.
TEST_CASE_METHOD(refusing_fleet,
                 "RepeatedRefusal_SameIdIsSentAgain_IsNoPromise", "[refusal]") {
  for (const auto& form : RefusalForms()) {
    // The sidecar stops using a backend server that refuses so.
    if (std::string_view(form.name) == "421") continue;
    for (const std::size_t entry : {0U, 1U}) {
      INFO(form.name << ", entry " << entry);
      const auto id = NextId();
      form_ = &form;
      change_next_reply_ = [&](scripted_reply& reply) {
        reply.before_next_response = reply.bytes;
      };
      CHECK(Send(entry, "POST", "/order/refuse", id).status == 503);
      CHECK(runs_.Of(id) == 0);
      CHECK(Send(entry, "POST", "/order/run", id).status == 200);
      CHECK(runs_.Of(id) == 1);
    }
  }
}

// Guards against a refusal that leaves its connection open, and against one
// that costs more connections than its own.
TEST_CASE_METHOD(refusing_fleet, "Refusal_ByTheServer_ClosesItsConnection",
                 "[refusal]") {
  for (int i = 0; i < 5; ++i) {
    CHECK(Send(0, "POST", "/order/refuse", NextId()).status == 503);
    CHECK(Send(0, "POST", "/order/run", NextId()).status == 200);
  }
  CHECK(server_.Connections() == 6);
}

// Guards against a response with the ID of another request that is taken as the
// response to a request without an ID.
TEST_CASE_METHOD(refusing_fleet,
                 "RepeatedRefusal_NextRequestHasNoId_IsNoPromise",
                 "[refusal]") {
  for (const auto id_kind : {refusal_id::kNone, refusal_id::kOfItsRequest}) {
    const auto earlier = NextId();
    change_next_reply_ = [&](scripted_reply& reply) {
      reply.before_next_response =
          Refusal(RefusalForms().front(),
                  id_kind == refusal_id::kNone ? std::string() : earlier);
    };
    CHECK(Send(1, "POST", "/order/run", earlier).status == 200);
    change_next_reply_ = [](scripted_reply& reply) {
      reply.bytes =
          "HTTP/1.1 200 X\r\nPomelohall-Response-Signature: sig\r\n"
          "Content-Length: 4\r\n\r\ndone";
    };
    raw_client client(CallerAddress(1));
    const auto response = client.Call("POST", "/order/run");
    CHECK(runs_.Of("") == 1 + static_cast<int>(id_kind));
    CHECK_FALSE(IsPromiseOfNotRun(response.status));
  }
}

// Guards against a status that callers take as the promise that an order did
// not run, although the backend server did not say so.
TEST_CASE_METHOD(refusing_fleet, "RunRequest_WithStatusOfARefusal_IsNoPromise",
                 "[refusal]") {
  for (const std::size_t entry : {0U, 1U}) {
    for (const int status : {503, 429, 408}) {
      INFO(status << ", entry " << entry);
      const auto id = NextId();
      change_next_reply_ = [&](scripted_reply& reply) {
        reply.bytes = SignedResponse(status, id, "failed");
      };
      CHECK(Send(entry, "POST", "/order/run", id).status == 502);
      CHECK(runs_.Of(id) == 1);
      // A repeated run does no harm, so the server's answer is forwarded.
      change_next_reply_ = [&](scripted_reply& reply) {
        reply.bytes = SignedResponse(status, "safe" + id, "failed");
      };
      CHECK(Send(entry, "GET", "/safe/run", "safe" + id).status == status);
    }
  }
}

// Guards against a success without the request's ID that reaches the caller of
// the next request on the connection.
TEST_CASE_METHOD(refusing_fleet,
                 "RepeatedSuccess_BeforeTheNextResponse_IsNotForwarded",
                 "[refusal]") {
  change_next_reply_ = [&](scripted_reply& reply) {
    reply.before_next_response =
        "HTTP/1.1 200 X\r\nPomelohall-Response-Signature: old\r\n"
        "Content-Length: 3\r\n\r\nold";
  };
  CHECK(Send(1, "POST", "/order/run", NextId()).status == 200);
  CHECK(Send(1, "POST", "/order/run", NextId()).status == 502);
}

}  // namespace
}  // namespace pomelohall
