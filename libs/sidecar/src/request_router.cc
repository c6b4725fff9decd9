#include "request_router.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "caller/body_prefix.h"
#include "logging/log_event.h"
#include "routed_request.h"

namespace pomelohall {

request_router::request_router(
    boost::asio::io_context& io, request_router_options options,
    local_dispatcher& dispatcher, answer_sender& sender,
    server_directory& directory, retry_budget& budget, connection_pool& peers,
    config_version_gossip& versions, crash_history& crashes,
    sidecar_metrics& metrics, std::uint64_t seed)
    : io_(io),
      options_(std::move(options)),
      dispatcher_(dispatcher),
      sender_(sender),
      directory_(directory),
      budget_(budget),
      peers_(peers),
      versions_(versions),
      crashes_(crashes),
      metrics_(metrics),
      random_(seed) {}

void request_router::SetTable(std::shared_ptr<route_table> table) {
  table_ = std::move(table);
  std::set<std::string> routes;
  for (const auto& route : table_->Config().routes) routes.insert(route.name);
  std::erase_if(deadline_histories_, [&](const auto& entry) {
    return !routes.contains(entry.first);
  });
  offer_planners_.clear();
}

void request_router::LimitToStop(const stop_limits& limits) {
  stop_ = limits;
  std::set<std::string> peers;
  for (const auto& request : in_progress_) {
    const auto routed = request.lock();
    if (!routed) continue;
    routed->LimitToStop();
    if (auto address = routed->PeerAddress(); !address.empty())
      peers.insert(std::move(address));
  }
  for (const auto& address : peers) SendStopNotice(address);
}

// Not repeated if it fails: the requests then end here when their time is up.
void request_router::SendStopNotice(const std::string& address) {
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      stop_->deadline - MonotonicNow());
  outgoing_request notice;
  notice.head.method = "POST";
  notice.head.target = "/";
  notice.head.fields = {
      {"Host", address},
      {std::string(kMeshStopField),
       std::to_string(std::max<std::int64_t>(time_left.count(), 0))},
      {std::string(kMeshSenderField), versions_.LocalAddress()},
      {options_.fields.attempt_id, "stop"}};
  peers_.Start(
      address, std::move(notice),
      {.on_sent = nullptr,
       .on_response = [address](const result<incoming_response>& answer) {
         if (answer && answer->body) DiscardBody(answer->body, nullptr);
         if (answer && answer->head.status == 204) return;
         log_event(log_level::kWarning, "stop_notice_failed")
             .With("peer", address)
             .With("reason",
                   answer ? "status " + std::to_string(answer->head.status)
                          : answer.error().message);
       }});
}

std::vector<std::shared_ptr<routed_request>> request_router::InProgress()
    const {
  std::vector<std::shared_ptr<routed_request>> requests;
  requests.reserve(in_progress_.size());
  for (const auto& request : in_progress_) {
    if (auto routed = request.lock()) requests.push_back(std::move(routed));
  }
  return requests;
}

void request_router::EndDelayingRequests() {
  for (const auto& request : InProgress()) request->EndIfDelaying();
}

void request_router::EndUnansweredRequests() {
  for (const auto& request : InProgress()) request->EndIfUnanswered();
}

void request_router::LogUnanswered() const {
  for (const auto& request : in_progress_) {
    if (const auto routed = request.lock()) routed->LogUnanswered();
  }
}

void request_router::OnRequest(std::shared_ptr<incoming_request> request) {
  const auto routed =
      std::make_shared<routed_request>(*this, std::move(request));
  in_progress_.insert(routed);
  routed->Start();
}

}  // namespace pomelohall
