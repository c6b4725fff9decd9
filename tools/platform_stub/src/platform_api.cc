#include "platform_stub/platform_api.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <ctime>
#include <nlohmann/json.hpp>
#include <utility>

#include "api_request.h"
#include "call_counts.h"
#include "fault_mode.h"
#include "platform/object_json.h"
#include "platform/object_table.h"
#include "watch_list.h"

namespace pomelohall {
namespace {

using nlohmann::json;
using responder_ptr = std::shared_ptr<http_responder>;

constexpr std::uint64_t kDefaultWatchSeconds = 300;

std::string FormatCurrentTime() {
  const std::time_t now =
      std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::string text(sizeof "2000-01-01T00:00:00Z", '\0');
  text.resize(std::strftime(text.data(), text.size(), "%FT%TZ", &utc));
  return text;
}

std::uint64_t NumberParameter(const http_request& request, const char* name,
                              std::uint64_t fallback) {
  const std::string text = QueryParameter(request.target, name);
  std::uint64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return parsed.ec == std::errc() && !text.empty() ? value : fallback;
}

// Returns the object name in the field selector "metadata.name=<name>", or "".
std::string SelectedObjectName(const http_request& request) {
  constexpr std::string_view kPrefix = "metadata.name=";
  const std::string selector = QueryParameter(request.target, "fieldSelector");
  return selector.starts_with(kPrefix) ? selector.substr(kPrefix.size()) : "";
}

// The table stores objects under "<namespace>/<plural>" in place of the plural.
std::string FormatStored(const stored_object& object,
                         const std::string& created) {
  const auto slash = object.plural.find('/');
  stored_object formatted = object;
  formatted.plural = object.plural.substr(slash + 1);
  return FormatObject(formatted, object.plural.substr(0, slash), created);
}

}  // namespace

class platform_api::impl : public std::enable_shared_from_this<impl> {
 public:
  explicit impl(boost::asio::io_context& io)
      : io_(io),
        watches_(std::make_shared<watch_list>(
            io,
            [this](const stored_object& object) { return Format(object); })) {
    table_.SetListener([this](const object_change& change) {
      if (change.type == change_type::kAdded) {
        creation_times_[{change.object.plural, change.object.name}] =
            FormatCurrentTime();
      }
      watches_->Publish(change);
    });
  }

  void Handle(const http_request& request, const responder_ptr& responder) {
    if (TargetPath(request.target).starts_with("/control/")) {
      return HandleControlRequest(request, responder);
    }
    const auto call = ParseApiRequest(request);
    if (!call) {
      return responder->Send(
          StatusResponse(404, "NotFound", "no such path or method"));
    }
    counts_.Add(*call);
    ApplyFault(*call, request, responder);
  }

 private:
  void HandleControlRequest(const http_request& request,
                            const responder_ptr& responder) {
    const auto path = TargetPath(request.target);
    if (path == "/control/calls" && request.method == "GET") {
      return responder->Send(JsonResponse(200, counts_.FormatJson()));
    }
    if (path != "/control/faults" || request.method != "POST") {
      return responder->Send(
          ErrorResponse({error_kind::kNotFound, "no such control"}));
    }
    if (auto set = faults_.Set(request.body); !set) {
      return responder->Send(ErrorResponse(set.error()));
    }
    if (faults_.IsDown()) watches_->EndAll();
    responder->Send(JsonResponse(200, faults_.FormatJson()));
  }

  void ApplyFault(const api_request& call, const http_request& request,
                  const responder_ptr& responder) {
    switch (faults_.Apply(call.verb)) {
      case fault_kind::kNone:
        return Run(call, request, responder);
      case fault_kind::kDown:
        return responder->Send(
            StatusResponse(503, "ServiceUnavailable", "the platform is down"));
      case fault_kind::kSlow:
        return RunAfterDelay(call, request, responder);
      case fault_kind::kLoseAnswers:
        Process(call, request);
        return responder->Abort();
    }
  }

  void RunAfterDelay(const api_request& call, const http_request& request,
                     const responder_ptr& responder) {
    auto timer =
        std::make_shared<boost::asio::steady_timer>(io_, faults_.Delay());
    timer->async_wait([self = shared_from_this(), timer, call, request,
                       responder](const boost::system::error_code&) {
      self->Run(call, request, responder);
    });
  }

  void Run(const api_request& call, const http_request& request,
           const responder_ptr& responder) {
    if (call.verb == api_verb::kWatch) return Watch(call, request, responder);
    responder->Send(Process(call, request));
  }

  http_response Process(const api_request& call, const http_request& request) {
    if (call.verb == api_verb::kList) return List(call, request);
    const auto object = Execute(call, request);
    if (!object) return ErrorStatusResponse(object.error(), call.verb);
    const int status = call.verb == api_verb::kCreate ? 201 : 200;
    return JsonResponse(status, Format(*object));
  }

  result<stored_object> Execute(const api_request& call,
                                const http_request& request) {
    switch (call.verb) {
      case api_verb::kDelete:
        return Delete(call, request);
      case api_verb::kCreate:
      case api_verb::kUpdate:
        return Write(call, request);
      default:
        return table_.Get(call.Collection(), call.name);
    }
  }

  result<stored_object> Write(const api_request& call,
                              const http_request& request) {
    auto object = ParseObject(request.body, call.Collection());
    if (!object) {
      return Fail(error_kind::kInvalidRequest, object.error().message);
    }
    if (call.verb == api_verb::kCreate) return table_.Create(*object);
    if (object->name != call.name) {
      return Fail(error_kind::kInvalidRequest,
                  "/metadata/name: found \"" + object->name +
                      "\", the path names \"" + call.name + "\"");
    }
    return table_.Update(*object);
  }

  result<stored_object> Delete(const api_request& call,
                               const http_request& request) {
    const json options = json::parse(request.body, nullptr, false);
    std::string version;
    if (options.is_object()) {
      const json found =
          options.value("/preconditions/resourceVersion"_json_pointer, json());
      if (found.is_string()) version = found.get<std::string>();
    }
    return table_.Delete({.plural = call.Collection(),
                          .name = call.name,
                          .resource_version = version,
                          .spec = ""});
  }

  // Objects are listed by name. The continue token of a page is its last name.
  http_response List(const api_request& call, const http_request& request) {
    const std::uint64_t limit = NumberParameter(request, "limit", 0);
    const std::string continue_after =
        QueryParameter(request.target, "continue");
    json items = json::array();
    std::string last;
    std::string next;
    for (const auto& object : table_.List(call.Collection())) {
      if (!continue_after.empty() && object.name <= continue_after) continue;
      if (limit > 0 && items.size() == limit) {
        next = last;
        break;
      }
      items.push_back(json::parse(Format(object)));
      last = object.name;
    }
    json metadata = {{"resourceVersion", std::to_string(table_.Version())}};
    if (!next.empty()) metadata["continue"] = next;
    return JsonResponse(200, json{{"kind", "List"},
                                  {"apiVersion", "v1"},
                                  {"metadata", std::move(metadata)},
                                  {"items", std::move(items)}}
                                 .dump());
  }

  void Watch(const api_request& call, const http_request& request,
             const responder_ptr& responder) {
    const auto from = NumberParameter(request, "resourceVersion", 0);
    const auto seconds =
        NumberParameter(request, "timeoutSeconds", kDefaultWatchSeconds);
    const auto initial = from == 0
                             ? std::optional(ListAsAdded(call.Collection()))
                             : table_.ChangesSince(call.Collection(), from);
    if (!initial) {
      return responder->Send(StatusResponse(
          410, "Expired",
          "resource version " + std::to_string(from) + " is too old"));
    }
    watches_->Add(call.Collection(), SelectedObjectName(request),
                  std::chrono::seconds(
                      std::min<std::uint64_t>(seconds, kDefaultWatchSeconds)),
                  *initial, responder->StartStream(JsonResponse(200, "")));
  }

  std::vector<object_change> ListAsAdded(const std::string& collection) const {
    std::vector<object_change> changes;
    for (auto& object : table_.List(collection)) {
      changes.push_back({.type = change_type::kAdded, .object = object});
    }
    return changes;
  }

  std::string Format(const stored_object& object) const {
    const auto created = creation_times_.find({object.plural, object.name});
    return FormatStored(
        object, created == creation_times_.end() ? "" : created->second);
  }

  boost::asio::io_context& io_;
  object_table table_;
  std::map<std::pair<std::string, std::string>, std::string> creation_times_;
  call_counts counts_;
  fault_mode faults_;
  std::shared_ptr<watch_list> watches_;
};

platform_api::platform_api(boost::asio::io_context& io)
    : impl_(std::make_shared<impl>(io)) {}

platform_api::~platform_api() = default;

http_handler platform_api::Handler() {
  return [state = impl_](const http_request& request,
                         const std::shared_ptr<http_responder>& responder) {
    state->Handle(request, responder);
  };
}

}  // namespace pomelohall
