#include "local_api.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace pomelohall {
namespace {

using nlohmann::json;

http_response Ok(const json& body) { return JsonResponse(200, body.dump()); }

http_response UnknownPath(const std::string& method, const std::string& path) {
  return ErrorResponse(
      {error_kind::kNotFound,
       "no endpoint " + method + " " + path + " on this listener",
       run_state::kNotRun});
}

}  // namespace

local_api::local_api(boost::asio::io_context& io, local_api_handler& handler)
    : io_(io), handler_(handler) {}

result<void> local_api::Listen(const std::string& address) {
  auto server = http_server::Listen(
      io_, {.address = address},
      [this](const http_request& request,
             const std::shared_ptr<http_responder>& responder) {
        OnRequest(request, responder);
      });
  if (!server) return tl::unexpected(server.error());
  server_ = std::move(*server);
  return {};
}

void local_api::Stop(std::function<void()> stopped) {
  server_->Stop(std::move(stopped));
}

void local_api::OnRequest(const http_request& request,
                          const std::shared_ptr<http_responder>& responder) {
  const std::string path(TargetPath(request.target));
  if (request.method == "GET") return OnGet(path, responder);
  if (request.method == "PUT" && path == "/v1/backend") {
    return responder->Send(OnPut(request.body));
  }
  if (request.method == "DELETE" && path == "/v1/backend") {
    handler_.OnWithdraw();
    return responder->Send(Ok(json::object()));
  }
  if (request.method == "POST" && path == "/v1/drain") {
    return responder->Send(OnDrain());
  }
  responder->Send(UnknownPath(request.method, path));
}

void local_api::OnGet(const std::string& path,
                      const std::shared_ptr<http_responder>& responder) {
  if (path == "/healthz") return responder->Send(Ok({{"status", "ok"}}));
  if (path == "/readyz") {
    if (handler_.IsReady()) return responder->Send(Ok({{"ready", true}}));
    return responder->Send(ErrorResponse(
        {error_kind::kConfigUnknown, "no configuration version is in force"}));
  }
  if (path == "/status") {
    return handler_.GetStatus([responder](std::string text) {
      responder->Send(JsonResponse(200, std::move(text)));
    });
  }
  if (path == "/metrics") {
    return handler_.GetMetrics([responder](std::string text) {
      responder->Send(
          {.status = 200,
           .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
           .body = std::move(text)});
    });
  }
  responder->Send(UnknownPath("GET", path));
}

http_response local_api::OnPut(const std::string& body) {
  auto announcement = ParseAnnouncement(body);
  if (!announcement) return ErrorResponse(announcement.error());
  if (auto leased = handler_.OnAnnounce(std::move(*announcement)); !leased) {
    return ErrorResponse(leased.error());
  }
  return Ok({{"lease_ms", static_cast<std::int64_t>(
                              ToMillis(backend_lease::kLeaseDuration))}});
}

http_response local_api::OnDrain() {
  if (auto drained = handler_.OnDrain(); !drained) {
    return ErrorResponse(drained.error());
  }
  return Ok({{"state", "draining"}});
}

}  // namespace pomelohall
