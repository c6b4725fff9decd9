#include "request_router.h"

#include <utility>

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
  for (const auto& request : in_progress_) {
    if (const auto routed = request.lock()) routed->LimitToStop();
  }
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
