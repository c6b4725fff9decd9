#include "mesh_fixture.h"

#include <cassert>
#include <chrono>
#include <utility>

namespace pomelohall {
namespace {

constexpr std::uint64_t kIncarnation = 1'000;

configuration TestConfiguration() {
  const auto make = [](const char* name, class_kind kind) {
    return work_class{
        .name = name, .service = "shop", .kind = kind, .target = {}};
  };
  return {.services = {{"shop"}},
          .classes = {make("look", class_kind::kLookup),
                      make("file", class_kind::kDownload),
                      make("order", class_kind::kTransaction)},
          .routes = {{"/look", "", "look"},
                     {"/file", "", "file"},
                     {"/order", "", "order"}}};
}

}  // namespace

mesh_fixture::mesh_fixture()
    : work_(io_.get_executor()), thread_([this] { io_.run(); }) {}

mesh_fixture::~mesh_fixture() {
  RunOnIoThread([this] { nodes_.clear(); });
  work_.reset();
  io_.stop();
  thread_.join();
}

std::string mesh_fixture::NameOf(std::size_t index) const {
  return "d" + std::to_string(index);
}

std::size_t mesh_fixture::AddDaemon(
    const std::function<void(call_service_options&)>& adjust) {
  const auto index = nodes_.size();
  nodes_.push_back(std::make_unique<node>());
  auto& added = *nodes_.back();
  call_service_options options;
  options.member = NameOf(index);
  options.data_centre = "plant";
  options.region = "nordeste";
  options.incarnation = kIncarnation;
  options.seed = index + 1;
  options.backend = [&added] { return added.view; };
  options.find_member =
      [this](const std::string& member) -> std::optional<member_address> {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (NameOf(i) == member) {
        return member_address{nodes_[i]->forward_address, kIncarnation};
      }
    }
    return std::nullopt;
  };
  options.on_suspect = [this, index](const suspect_event& event) {
    Broadcast(index, event);
  };
  options.on_observation = [this](const call_observation& observation) {
    const std::lock_guard lock(mutex_);
    observations_.push_back(observation);
  };
  // A test makes too few calls for the default budget to allow all its retries.
  options.retries.minimum_budget = 100;
  if (adjust) adjust(options);
  RunOnIoThread([&] {
    added.service = std::make_unique<call_service>(io_, std::move(options));
    const auto started = added.service->Start();
    assert(started);
    static_cast<void>(started);
    added.caller_address = added.service->CallerAddress();
    added.forward_address = added.service->ForwardAddress();
  });
  return index;
}

void mesh_fixture::AddBackend(std::size_t index, stub_options options) {
  RunOnIoThread([&] {
    auto& target = *nodes_[index];
    const auto slots = options.slots;
    target.stub = std::make_unique<stub_server>(io_, std::move(options));
    const auto listening = target.stub->Listen();
    assert(listening);
    static_cast<void>(listening);
    target.view = {target.stub->Address(), "shop", slots,
                   backend_state::kReady};
    target.published = backend_state::kReady;
    target.service->OnBackendChanged();
  });
}

void mesh_fixture::SetBackend(std::size_t index, const std::string& address,
                              std::uint32_t slots) {
  RunOnIoThread([&] {
    auto& target = *nodes_[index];
    target.view = {address, "shop", slots, backend_state::kReady};
    target.published = backend_state::kReady;
    target.service->OnBackendChanged();
  });
}

void mesh_fixture::CrashBackend(std::size_t index) {
  RunOnIoThread([&] { nodes_[index]->stub->Abort(); });
}

void mesh_fixture::SetBackendState(std::size_t index, backend_state state) {
  RunOnIoThread([&] {
    nodes_[index]->view.state = state;
    nodes_[index]->service->OnBackendChanged();
  });
}

void mesh_fixture::PublishSnapshot() {
  RunOnIoThread([this] {
    std::vector<member_record> members;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto& item = *nodes_[i];
      member_record record;
      record.name = NameOf(i);
      record.region = "nordeste";
      record.data_centre = "plant";
      record.forward_address = item.forward_address;
      record.incarnation = kIncarnation;
      record.backend = {item.view.service, item.view.slots, item.published};
      members.push_back(std::move(record));
    }
    const auto next =
        BuildSnapshot(++version_, TestConfiguration(), members, {});
    for (const auto& item : nodes_) item->service->SetSnapshot(next);
  });
}

void mesh_fixture::WaitUntil(const std::function<bool()>& condition) {
  while (!RunOnIoThread([&] { return condition(); })) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

call_service_status mesh_fixture::Status(std::size_t index) {
  return RunOnIoThread([&] { return nodes_[index]->service->Status(); });
}

std::vector<call_observation> mesh_fixture::Observations() {
  const std::lock_guard lock(mutex_);
  return observations_;
}

std::vector<suspect_event> mesh_fixture::QuarantineEvents() {
  const std::lock_guard lock(mutex_);
  return quarantine_events_;
}

void mesh_fixture::Broadcast(std::size_t from, const suspect_event& event) {
  {
    const std::lock_guard lock(mutex_);
    quarantine_events_.push_back(event);
  }
  if (!broadcast_events_) return;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (i != from && nodes_[i]->service) {
      nodes_[i]->service->ApplySuspect(event);
    }
  }
}

}  // namespace pomelohall
