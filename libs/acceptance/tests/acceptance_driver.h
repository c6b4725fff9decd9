#ifndef POMELOHALL_ACCEPTANCE_TESTS_ACCEPTANCE_DRIVER_H_
#define POMELOHALL_ACCEPTANCE_TESTS_ACCEPTANCE_DRIVER_H_

#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "acceptance/acceptance_writer.h"
#include "acceptance/change_resolver.h"
#include "acceptance/config_objects.h"
#include "platform/fake_object_store.h"

namespace pomelohall {

inline configuration MakeDocument(int services) {
  configuration document;
  for (int i = 0; i < services; ++i) {
    document.services.push_back({"service-" + std::to_string(i)});
  }
  return document;
}

/// Executes the actions of a state machine against a fake store, one at a time,
/// so that a test can intervene between two of them.
class acceptance_driver {
 public:
  acceptance_driver(fake_object_store& store,
                    std::unique_ptr<acceptance_state_machine> state_machine)
      : store_(store), state_machine_(std::move(state_machine)) {
    Enqueue(state_machine_->Start(now_));
  }

  acceptance_driver(fake_object_store& store, configuration document,
                    std::string nonce)
      : acceptance_driver(store, std::make_unique<acceptance_writer>(
                                     std::move(document), std::move(nonce),
                                     acceptance_options{}, /*seed=*/1)) {}

  /// Executes the next action and delivers its answer. Returns false once the
  /// state machine has finished.
  bool Step() {
    if (done_) return false;
    const auto action = queue_.front();
    queue_.pop_front();
    std::visit([this](const auto& each) { Execute(each); }, action);
    store_.Advance();
    return !done_;
  }

  acceptance_done Run() {
    while (!done_) Step();
    return *done_;
  }

  /// Executes actions until the next one is a write of the head.
  void RunToHeadWrite() {
    while (!std::holds_alternative<write_head>(queue_.front())) Step();
  }

 private:
  void Enqueue(const acceptance_actions& actions) {
    queue_.insert(queue_.end(), actions.begin(), actions.end());
  }
  void Execute(const read_head&) {
    store_.Get(kHeadPlural, kHeadName, [this](const auto& answer) {
      Enqueue(state_machine_->OnHead(answer, now_));
    });
  }
  void Execute(const create_section& action) {
    store_.Create(action.object,
                  [this, name = action.object.name](const auto& answer) {
                    Enqueue(state_machine_->OnSection(name, answer, now_));
                  });
  }
  void Execute(const write_head& action) {
    const auto done = [this](const auto& answer) {
      Enqueue(state_machine_->OnHeadWritten(answer, now_));
    };
    if (action.object.resource_version.empty()) {
      store_.Create(action.object, done);
    } else {
      store_.Update(action.object, done);
    }
  }
  void Execute(const pause_for& action) {
    now_ += action.span;
    Enqueue(state_machine_->OnPauseEnded(now_));
  }
  void Execute(const acceptance_done& action) { done_ = action; }

  fake_object_store& store_;
  std::unique_ptr<acceptance_state_machine> state_machine_;
  std::deque<acceptance_action> queue_;
  std::optional<acceptance_done> done_;
  instant now_;
};

class acceptance_fixture {
 protected:
  acceptance_done Accept(int services, const std::string& nonce) {
    return acceptance_driver(store_, MakeDocument(services), nonce).Run();
  }

  config_head Head() {
    return ParseHeadObject(*store_.Table().Get(kHeadPlural, kHeadName)).value();
  }

  /// Reads the complete current version from the store, as a daemon does.
  configuration StoredConfiguration() {
    config_image image = *EmptyImage();
    image.head = Head();
    for (std::size_t i = 0; i < kSectionCount; ++i) {
      const auto& section = image.head.sections[i];
      if (section.changed_at == 0) continue;
      const auto object = store_.Table().Get(kSectionPlural, section.digest);
      REQUIRE(object.has_value());
      image.sections[i] = ParseSectionObject(*object).value();
    }
    return ImageDocument(image).value();
  }

  acceptance_done Resolve(const std::string& change_id) {
    return acceptance_driver(store_,
                             std::make_unique<change_resolver>(
                                 change_id, acceptance_options{}, /*seed=*/1))
        .Run();
  }

  fake_object_store store_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_ACCEPTANCE_TESTS_ACCEPTANCE_DRIVER_H_
