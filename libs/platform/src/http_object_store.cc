#include "platform/http_object_store.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "base/json_text.h"
#include "http/http_client.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr int kListPageSize = 250;  // objects in one response
// Fits a page of 250 objects of 256 KB each. Larger objects are never listed.
constexpr std::size_t kMaxPageBytes = 67'108'864;
// Sum of the pages of one listing.
constexpr std::size_t kMaxListBytes = 268'435'456;
// An object or the event of a watch. Daemons read several at a time.
constexpr std::size_t kMaxObjectBytes = 2'097'152;
constexpr std::uint32_t kMillisPerSecond = 1000;

std::string StatusMessage(const http_response& response) {
  const json status = ParseJson(response.body);
  if (status.is_object() && status.contains("message") &&
      status["message"].is_string()) {
    return status["message"].get<std::string>();
  }
  return "the platform responded with status " +
         std::to_string(response.status);
}

error_kind ToErrorKind(int status) {
  switch (status) {
    case 404:
      return error_kind::kNotFound;
    case 409:
      return error_kind::kConflict;
    case 413:
      return error_kind::kBodyTooLarge;
    default:
      // 429 and 5xx: the platform cannot serve the call now.
      return status >= 500 || status == 429 ? error_kind::kPlatformUnavailable
                                            : error_kind::kInvalidRequest;
  }
}

error ToStoreError(const error& failure) {
  if (failure.kind == error_kind::kInvalidRequest) return failure;
  return {error_kind::kPlatformUnavailable, failure.message, failure.ran};
}

// Returns the body of a successful response.
result<std::string> ToBody(result<http_response> answer) {
  if (!answer) return tl::unexpected(ToStoreError(answer.error()));
  if (answer->status >= 400) {
    return Fail(ToErrorKind(answer->status), StatusMessage(*answer));
  }
  return std::move(answer->body);
}

// After a malformed response the outcome of a write is unknown, as after a lost
// one.
result<stored_object> ToObject(result<http_response> answer,
                               const std::string& plural) {
  const auto body = ToBody(std::move(answer));
  if (!body) return tl::unexpected(body.error());
  auto object = ParseObject(*body, plural);
  if (!object) {
    return Fail(error_kind::kPlatformUnavailable, object.error().message);
  }
  return object;
}

tl::unexpected<error> ClosedError() {
  return Fail(error_kind::kPlatformUnavailable,
              "the object store was destroyed");
}

}  // namespace

class http_object_store::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context& io, http_object_store_options options)
      : options_(std::move(options)),
        client_(std::make_unique<http_client>(
            io, http_client_options{.max_body_bytes = kMaxObjectBytes})),
        list_client_(std::make_unique<http_client>(
            io, http_client_options{.max_body_bytes = kMaxPageBytes})) {}

  // Cancels the calls in progress; their callbacks may still refer to this
  // object.
  void Close() {
    client_.reset();
    list_client_.reset();
  }

  void Call(std::string method, const std::string& plural,
            const std::string& name, std::string body, object_callback done) {
    if (!client_) return done(ClosedError());
    client_->Send(options_.address,
                  {.method = std::move(method),
                   .target = Path(plural, name),
                   .headers = {{"Content-Type", "application/json"}},
                   .body = std::move(body)},
                  options_.timeout,
                  [plural, done = std::move(done)](result<http_response> got) {
                    done(ToObject(std::move(got), plural));
                  });
  }

  // The response contains the object or only a status, so its body is ignored.
  void Remove(const stored_object& object, object_callback done) {
    json options = {{"kind", "DeleteOptions"}};
    if (!object.resource_version.empty()) {
      options["preconditions"] = {{"resourceVersion", object.resource_version}};
    }
    client_->Send(options_.address,
                  {.method = "DELETE",
                   .target = Path(object.plural, object.name),
                   .headers = {{"Content-Type", "application/json"}},
                   .body = options.dump()},
                  options_.timeout,
                  [object, done = std::move(done)](result<http_response> got) {
                    const auto body = ToBody(std::move(got));
                    if (!body) return done(tl::unexpected(body.error()));
                    done(object);
                  });
  }

  // @param bytes Of the earlier pages.
  void ListPage(const std::string& plural, std::size_t bytes,
                std::vector<stored_object> found,
                const std::string& continue_token, list_callback done) {
    if (!list_client_) return done(ClosedError());
    std::string target =
        Path(plural, "") + "?limit=" + std::to_string(kListPageSize);
    if (!continue_token.empty())
      target += "&continue=" + PercentEncode(continue_token);
    list_client_->Send(
        options_.address, {.target = std::move(target)}, options_.timeout,
        [self = shared_from_this(), plural, bytes, found = std::move(found),
         done = std::move(done)](result<http_response> got) mutable {
          self->OnPage(plural, bytes, std::move(found), std::move(got),
                       std::move(done));
        });
  }

  void Wait(const std::string& plural, const std::string& name,
            const std::string& known, std::uint32_t timeout_ms,
            object_callback done) {
    const std::uint32_t seconds =
        std::max(1U, (timeout_ms + kMillisPerSecond - 1) / kMillisPerSecond);
    const auto waiting = std::make_shared<wait>(
        wait{plural, name, known, "", std::nullopt, std::move(done)});
    client_->SendStreaming(
        options_.address, {.target = WatchTarget(*waiting, seconds)},
        options_.timeout + std::chrono::seconds(seconds),
        [waiting](std::string_view chunk) { return OnChunk(*waiting, chunk); },
        [self = shared_from_this(), waiting](result<http_response> got) {
          self->OnWatchEnd(*waiting, std::move(got));
        });
  }

  std::string Format(const stored_object& object) const {
    return FormatObject(object, options_.name_space, "");
  }

 private:
  struct wait {
    std::string plural;
    std::string name;
    std::string known;
    std::string line;  // bytes of the first event received so far
    std::optional<result<stored_object>> changed;
    object_callback done;
  };

  std::string Path(const std::string& plural, const std::string& name) const {
    const std::string path = CollectionPath(options_.name_space, plural);
    return name.empty() ? path : path + "/" + PercentEncode(name);
  }

  // A watch from version 0 starts with the current state, so a wait for an
  // object that already exists ends immediately.
  std::string WatchTarget(const wait& waiting, std::uint32_t seconds) const {
    return Path(waiting.plural, "") + "?watch=1&resourceVersion=" +
           (waiting.known.empty() ? "0" : PercentEncode(waiting.known)) +
           "&timeoutSeconds=" + std::to_string(seconds) +
           "&fieldSelector=" + PercentEncode("metadata.name=" + waiting.name);
  }

  // Returns false once the first event is complete.
  static bool OnChunk(wait& waiting, std::string_view chunk) {
    const auto searched = waiting.line.size();
    waiting.line += chunk;
    const auto end = waiting.line.find('\n', searched);
    if (end == std::string::npos) {
      if (waiting.line.size() <= kMaxObjectBytes) return true;
      waiting.changed =
          Fail(error_kind::kPlatformUnavailable,
               "the platform sent a watch event that is too long");
      return false;
    }
    waiting.changed = ParseEvent(waiting, waiting.line.substr(0, end));
    return false;
  }

  static result<stored_object> ParseEvent(const wait& waiting,
                                          const std::string& line) {
    const json_members event(line);
    const auto event_type = ParseJson(event.Find("type"));
    const auto object = event.Find("object");
    if (!event_type.is_string() || object.empty()) {
      return Fail(
          error_kind::kPlatformUnavailable,
          "the platform sent a watch event without a type or an object");
    }
    const auto type = event_type.get<std::string>();
    if (type == "DELETED") {
      return Fail(error_kind::kNotFound, waiting.name + " was deleted");
    }
    if (type == "ERROR") {
      return Fail(error_kind::kPlatformUnavailable,
                  "the platform ended the watch with an error");
    }
    return ParseObject(object, waiting.plural);
  }

  void OnWatchEnd(wait& waiting, result<http_response> got) {
    constexpr int kGone = 410;  // the known version is too old for a watch
    const bool gone = got && got->status == kGone;
    if (!gone && !waiting.changed) {
      if (const auto body = ToBody(std::move(got)); !body) {
        return waiting.done(tl::unexpected(body.error()));
      }
    }
    if (waiting.changed) return CacheAndFinish(waiting, *waiting.changed);
    const auto cached = last_seen_.find({waiting.plural, waiting.name});
    if (!gone && cached != last_seen_.end() &&
        cached->second.resource_version == waiting.known) {
      return waiting.done(cached->second);
    }
    ReadAfterWait(waiting);
  }

  void ReadAfterWait(const wait& waiting) {
    Call("GET", waiting.plural, waiting.name, "",
         [self = shared_from_this(), waiting](result<stored_object> got) {
           self->CacheAndFinish(waiting, std::move(got));
         });
  }

  // Caches the object, so that a wait that ends without a change needs no read.
  void CacheAndFinish(const wait& waiting, result<stored_object> got) {
    if (got) last_seen_[{waiting.plural, waiting.name}] = *got;
    waiting.done(std::move(got));
  }

  void OnPage(const std::string& plural, std::size_t bytes,
              std::vector<stored_object> found, result<http_response> got,
              list_callback done) {
    const auto body = ToBody(std::move(got));
    if (!body) return done(tl::unexpected(body.error()));
    bytes += body->size();
    if (bytes > kMaxListBytes) {
      return done(Fail(error_kind::kPlatformUnavailable,
                       "the list of " + plural + " is too long"));
    }
    const json_members list(*body);
    const auto items = JsonElements(list.Find("items"));
    if (!items) {
      return done(Fail(error_kind::kPlatformUnavailable,
                       "the list of " + plural + " has no array of items"));
    }
    for (const auto item : *items) {
      // An object without a name cannot be used or replaced by anybody.
      auto object = ParseObject(item, plural);
      if (object && !object->name.empty()) found.push_back(std::move(*object));
    }
    const json_members metadata(list.Find("metadata"));
    const auto token = ParseJson(metadata.Find("continue"));
    if (!token.is_string() || token.get<std::string>().empty()) {
      return done(std::move(found));
    }
    ListPage(plural, bytes, std::move(found), token.get<std::string>(),
             std::move(done));
  }

  http_object_store_options options_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<http_client> list_client_;
  std::map<std::pair<std::string, std::string>, stored_object> last_seen_;
};

http_object_store::http_object_store(boost::asio::io_context& io,
                                     http_object_store_options options)
    : impl_(std::make_shared<impl>(io, std::move(options))) {}

http_object_store::~http_object_store() { impl_->Close(); }

void http_object_store::Get(const std::string& plural, const std::string& name,
                            object_callback done) {
  impl_->Call("GET", plural, name, "", std::move(done));
}

void http_object_store::List(const std::string& plural, list_callback done) {
  impl_->ListPage(plural, 0, {}, "", std::move(done));
}

void http_object_store::Create(const stored_object& object,
                               object_callback done) {
  stored_object unversioned = object;
  unversioned.resource_version.clear();
  impl_->Call("POST", object.plural, "", impl_->Format(unversioned),
              std::move(done));
}

void http_object_store::Update(const stored_object& object,
                               object_callback done) {
  impl_->Call("PUT", object.plural, object.name, impl_->Format(object),
              std::move(done));
}

void http_object_store::Delete(const stored_object& object,
                               object_callback done) {
  impl_->Remove(object, std::move(done));
}

void http_object_store::WaitForChange(const std::string& plural,
                                      const std::string& name,
                                      const std::string& known,
                                      std::uint32_t timeout_ms,
                                      object_callback done) {
  impl_->Wait(plural, name, known, timeout_ms, std::move(done));
}

}  // namespace pomelohall
