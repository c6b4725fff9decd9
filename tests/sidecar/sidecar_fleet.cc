#include "sidecar_fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "platform_adapter/config_decoder.h"
#include "platform_adapter/wire_names.h"

namespace pomelohall {

using nlohmann::json;
using platform_adapter::fake_store;
using platform_adapter::http_watched_store;

namespace {

// A proxy in front of a listener has to know its address before it listens.
std::string FreeLoopbackAddress(boost::asio::io_context& io) {
  using boost::asio::ip::tcp;
  const tcp::acceptor acceptor(
      io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  std::ostringstream text;
  text << acceptor.local_endpoint();
  return text.str();
}

}  // namespace

sidecar_fleet::sidecar_fleet()
    : work_guard_(boost::asio::make_work_guard(io_)),
      store_(std::make_unique<fake_store>(io_)),
      io_thread_([this] { io_.run(); }) {}

sidecar_fleet::~sidecar_fleet() {
  // As in the program: sidecars are destroyed when their handlers no longer
  // run.
  io_.stop();
  io_thread_.join();
  nodes_.clear();
  stopped_nodes_.clear();
}

std::unique_ptr<sidecar_fleet::sidecar_node> sidecar_fleet::StartNode(
    std::size_t index, const std::string& server_address,
    const std::string& service) {
  auto node = std::make_unique<sidecar_node>();
  node->server_address = server_address;
  node->service = service;
  sidecar_settings settings;
  settings.name = "vm-" + std::to_string(index);
  settings.data_centre = "near";
  settings.server_address =
      server_address.empty() ? "127.0.0.1:1" : server_address;
  settings.server_service = service;
  settings.caller_address = "127.0.0.1:0";
  settings.forward_address = "127.0.0.1:0";
  settings.link_mbps = link_mbps_;
  settings.max_config_delay = max_config_delay_;
  settings.stop_grace = stop_grace_;
  settings.rollouts = rollouts_;
  settings.quotas = quotas_;
  if (forward_link_rate_ > 0) {
    settings.forward_address = FreeLoopbackAddress(io_);
    node->forward_link = std::make_unique<slow_link_proxy>(
        io_, settings.forward_address, forward_link_rate_);
    settings.advertised_address = node->forward_link->Address();
  }
  auto store_address = store_->Address();
  if (store_link_rate_ > 0) {
    node->store_link =
        std::make_unique<slow_link_proxy>(io_, store_address, store_link_rate_);
    store_address = node->store_link->Address();
  }
  node->store = std::make_unique<http_watched_store>(io_, store_address);
  node->daemon = std::make_unique<sidecar>(
      io_, settings,
      sidecar_platform{
          .fields = platform_adapter::HeaderFieldNames(),
          .store = node->store.get(),
          .decode_config = platform_adapter::DecodeConfig,
          .config_name = std::string(platform_adapter::kConfigName),
          .rollouts = &rollout_objects_});
  if (const auto started = node->daemon->Start(); !started) {
    throw std::runtime_error(started.error().message);
  }
  return node;
}

std::size_t sidecar_fleet::AddSidecarFor(const std::string& server_address,
                                         const std::string& service) {
  return RunOnIoThread([&] {
    const auto index = nodes_.size();
    auto node = StartNode(index, server_address, service);
    if (!server_address.empty()) {
      node->announcement = {.instance = "i-" + std::to_string(index),
                            .service = service,
                            .address = server_address,
                            .slots = slots_,
                            .draining = false,
                            .started_unix_ms = 1000,
                            .sequence = 1,
                            .version = server_version_};
      node->daemon->OnAnnounced(node->announcement);
    }
    nodes_.push_back(std::move(node));
    return index;
  });
}

void sidecar_fleet::Restart(std::size_t index) {
  Stop(index).get();
  RunOnIoThread([&] {
    auto& node = nodes_[index];
    auto next = StartNode(index, node->server_address, node->service);
    next->announcement = node->announcement;
    stopped_nodes_.push_back(std::exchange(node, std::move(next)));
  });
}

bool sidecar_fleet::Withdraw(std::size_t index, const std::string& instance) {
  RunOnIoThread([&] { nodes_[index]->daemon->OnWithdrawn(instance); });
  return AwaitDepartureStored(index);
}

bool sidecar_fleet::AwaitDepartureStored(std::size_t index) {
  std::promise<bool> acknowledged;
  RunOnIoThread([&] {
    nodes_[index]->daemon->AwaitDepartureStored(
        [&acknowledged](bool stored) { acknowledged.set_value(stored); });
  });
  return acknowledged.get_future().get();
}

void sidecar_fleet::PublishConfig(int version, const std::string& added_prefix,
                                  const char* added_kind) {
  const auto route = [this](const std::string& prefix, const char* kind) {
    return json{{"name", prefix},
                {"host", "test"},
                {"pathPrefix", prefix},
                {"kind", kind},
                {"timeoutMs", route_timeout_.count()},
                {"latencyTargetMs", latency_target_.count()},
                {"priority", 1},
                {"service", "shop"},
                {"attempts", 2},
                {"public", prefix == "/open/"}};
  };
  json routes{route("/safe/", "safe"), route("/order/", "unsafe"),
              route("/file/", "download")};
  if (!added_prefix.empty()) routes.push_back(route(added_prefix, added_kind));
  for (int i = 0; i < idle_routes_; ++i) {
    routes.push_back(
        route("/idle-route-" + std::to_string(1'000'000 + i) + "/", "safe"));
  }
  json spec{{"version", "r" + std::to_string(version)},
            {"routes", std::move(routes)},
            {"services", {{{"name", "shop"}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", max_body_bytes_},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
  if (!tenants_.is_null()) spec.emplace("tenants", tenants_);
  RunOnIoThread([&] {
    // In the initializer list above, it would take clang-tidy minutes.
    spec["limits"]["maxHeaderBytes"] = max_header_bytes_;
    store_->Put("config", "main", spec);
  });
}

void sidecar_fleet::WaitUntilOffered(std::size_t server_count) {
  const auto all_offered = [&] {
    std::size_t offering = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (!nodes_[i]->daemon->IsReady()) return false;
      const auto spec =
          store_->SpecOf("pomelohall-members", "vm-" + std::to_string(i));
      if (spec.is_object() && spec.contains("server")) ++offering;
    }
    return offering >= server_count;
  };
  while (!RunOnIoThread(all_offered)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  // A watch pauses after each change, so the sidecars receive the records
  // within two pauses.
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
}

void sidecar_fleet::AnnounceAgain() {
  RunOnIoThread([this] {
    for (const auto& node : nodes_) {
      if (node->announcement.instance.empty()) continue;
      ++node->announcement.sequence;
      node->daemon->OnAnnounced(node->announcement);
    }
  });
}

void sidecar_fleet::AnnounceDraining(std::size_t index) {
  RunOnIoThread([&] {
    auto announcement = nodes_[index]->announcement;
    announcement.draining = true;
    announcement.sequence = 9;
    nodes_[index]->daemon->OnAnnounced(announcement);
  });
}

std::future<void> sidecar_fleet::Stop(std::size_t index) {
  auto stopped = std::make_shared<std::promise<void>>();
  auto future = stopped->get_future();
  RunOnIoThread([&] {
    nodes_[index]->daemon->Stop([stopped] { stopped->set_value(); });
  });
  return future;
}

std::string sidecar_fleet::CallerAddress(std::size_t index) {
  return RunOnIoThread([&] { return nodes_[index]->daemon->CallerAddress(); });
}

bool sidecar_fleet::IsReady(std::size_t index) {
  return RunOnIoThread([&] { return nodes_[index]->daemon->IsReady(); });
}

raw_response sidecar_fleet::Call(std::size_t index, const std::string& method,
                                 const std::string& target,
                                 const std::string& fields,
                                 const std::string& body) {
  raw_client client(CallerAddress(index));
  return client.Call(method, target,
                     "Pomelohall-Attempt-Id: a1\r\n"
                     "Pomelohall-Request-Deadline: 2500\r\n" +
                         fields,
                     body);
}

std::string sidecar_fleet::SignedResponse(int status, const std::string& id,
                                          const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nPomelohall-Attempt-Id: " + id +
         "\r\nPomelohall-Response-Signature: sig\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string sidecar_fleet::OkResponse(const std::string& header) {
  return SignedResponse(200, HeaderValue(header, "Pomelohall-Attempt-Id"),
                        "ok");
}

}  // namespace pomelohall
