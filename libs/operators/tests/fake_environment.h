#ifndef POMELOHALL_OPERATORS_TESTS_FAKE_ENVIRONMENT_H_
#define POMELOHALL_OPERATORS_TESTS_FAKE_ENVIRONMENT_H_

#include <functional>
#include <string>
#include <vector>

#include "base/random.h"
#include "operators/data_centre_status.h"
#include "operators/environment.h"
#include "platform/fake_object_store.h"

namespace pomelohall {

/// Environment with a fake platform and a clock that only Sleep() advances.
class fake_environment : public environment {
 public:
  object_store& Store() override { return store_; }
  instant Now() override { return now_; }
  void RunOnce() override { store_.Advance(); }
  void Sleep(duration span) override {
    now_ += span;
    store_.Advance(span);
    if (on_sleep_) on_sleep_();
  }
  std::uint64_t RandomBits() override { return random_.Next(); }
  void Notice(const std::string& line) override { notices_.push_back(line); }

  fake_object_store& FakeStore() { return store_; }
  const std::vector<std::string>& Notices() const { return notices_; }
  /// Runs `hook` after every Sleep().
  void OnSleep(std::function<void()> hook) { on_sleep_ = std::move(hook); }

  /// Stores the status of a data centre, replacing an earlier one.
  void StoreStatus(const data_centre_status& status) {
    const auto stored = store_.Table().Get(kStatusPlural, status.data_centre);
    if (stored) {
      store_.Table().Update(StatusObject(status, stored->resource_version));
    } else {
      store_.Table().Create(StatusObject(status, ""));
    }
  }

 private:
  fake_object_store store_;
  random_source random_{1};
  instant now_;
  std::vector<std::string> notices_;
  std::function<void()> on_sleep_;
};

/// Returns a document with a class and a route for each service.
inline std::string DocumentText(int services, int within_ms = 100) {
  configuration document;
  for (int i = 0; i < services; ++i) {
    const std::string name = "s" + std::to_string(i);
    document.services.push_back({name});
    document.classes.push_back({.name = name + "-read",
                                .service = name,
                                .kind = class_kind::kLookup,
                                .target = {.within_ms = within_ms}});
    document.routes.push_back({.path_prefix = "/" + name,
                               .method = "",
                               .work_class = name + "-read"});
  }
  return FormatConfiguration(document);
}

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_TESTS_FAKE_ENVIRONMENT_H_
