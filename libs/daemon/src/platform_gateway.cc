#include "daemon/platform_gateway.h"

#include <algorithm>
#include <utility>

#include "acceptance/config_objects.h"

namespace pomelohall {
namespace {

constexpr int kReplaceAttempts = 3;

}  // namespace

class platform_gateway::impl : public std::enable_shared_from_this<impl> {
 public:
  explicit impl(object_store& store) : store_(store) {}

  void ReadHead(head_callback done) {
    store_.Get(kHeadPlural, kHeadName, HeadCallback(std::move(done)));
  }

  void WaitForHead(std::uint32_t timeout_ms, head_callback done) {
    store_.WaitForChange(kHeadPlural, kHeadName, head_resource_version_,
                         timeout_ms, HeadCallback(std::move(done)));
  }

  void ReadSections(std::vector<std::string> digests, sections_callback done) {
    auto batch = std::make_shared<section_batch>();
    std::sort(digests.begin(), digests.end());
    digests.erase(std::unique(digests.begin(), digests.end()), digests.end());
    batch->digests = std::move(digests);
    batch->done = std::move(done);
    ReadNextSection(batch);
  }

  void Create(const std::string& plural, const std::string& name,
              std::string spec, write_callback done) {
    store_.Create({.plural = plural,
                   .name = name,
                   .resource_version = "",
                   .spec = std::move(spec)},
                  [self = weak_from_this(), done = std::move(done)](
                      const result<stored_object>& answer) {
                    if (self.expired()) return;
                    if (answer) return done({});
                    done(tl::unexpected(answer.error()));
                  });
  }

  void Replace(const std::string& plural, const std::string& name,
               std::string spec, int attempts, write_callback done) {
    stored_object object{
        .plural = plural,
        .name = name,
        .resource_version = resource_versions_[plural + "/" + name],
        .spec = std::move(spec)};
    auto answered = [self = weak_from_this(), object, attempts,
                     done =
                         std::move(done)](const result<stored_object>& answer) {
      if (const auto alive = self.lock()) {
        alive->OnReplaced(object, attempts, done, answer);
      }
    };
    if (object.resource_version.empty()) {
      store_.Create(object, std::move(answered));
    } else {
      store_.Update(object, std::move(answered));
    }
  }

 private:
  struct section_batch {
    std::vector<std::string> digests;
    section_map found;
    sections_callback done;
  };

  object_store::object_callback HeadCallback(head_callback done) {
    return [self = weak_from_this(),
            done = std::move(done)](const result<stored_object>& answer) {
      if (const auto alive = self.lock()) done(alive->OnHead(answer));
    };
  }

  result<config_head> OnHead(const result<stored_object>& answer) {
    if (!answer) {
      if (answer.error().kind != error_kind::kNotFound) {
        return tl::unexpected(answer.error());
      }
      return EmptyImage()->head;
    }
    auto head = ParseHeadObject(*answer);
    if (head) head_resource_version_ = answer->resource_version;
    return head;
  }

  // Reads the sections sequentially. A change has only one or two, and a full
  // read must not use up the platform's request rate.
  void ReadNextSection(const std::shared_ptr<section_batch>& batch) {
    if (batch->found.size() == batch->digests.size()) {
      return batch->done(std::move(batch->found));
    }
    const std::string digest = batch->digests[batch->found.size()];
    store_.Get(kSectionPlural, digest,
               [self = weak_from_this(), batch,
                digest](const result<stored_object>& answer) {
                 const auto alive = self.lock();
                 if (!alive) return;
                 if (!answer) {
                   return batch->done(tl::unexpected(answer.error()));
                 }
                 auto bytes = ParseSectionObject(*answer);
                 if (!bytes) return batch->done(tl::unexpected(bytes.error()));
                 batch->found[digest] = *bytes;
                 alive->ReadNextSection(batch);
               });
  }

  void OnReplaced(const stored_object& object, int attempts,
                  const write_callback& done,
                  const result<stored_object>& answer) {
    const std::string key = object.plural + "/" + object.name;
    if (answer) {
      resource_versions_[key] = answer->resource_version;
      return done({});
    }
    const bool conflict = answer.error().kind == error_kind::kConflict ||
                          answer.error().kind == error_kind::kNotFound;
    if (!conflict || attempts == 1) {
      resource_versions_.erase(key);
      return done(tl::unexpected(answer.error()));
    }
    store_.Get(object.plural, object.name,
               [self = weak_from_this(), object, attempts, done,
                key](const result<stored_object>& found) {
                 const auto alive = self.lock();
                 if (!alive) return;
                 alive->resource_versions_[key] =
                     found ? found->resource_version : "";
                 alive->Replace(object.plural, object.name, object.spec,
                                attempts - 1, done);
               });
  }

  object_store& store_;
  std::string head_resource_version_;
  std::map<std::string, std::string> resource_versions_;  ///< By "plural/name".
};

platform_gateway::platform_gateway(object_store& store)
    : impl_(std::make_shared<impl>(store)) {}

platform_gateway::~platform_gateway() = default;

void platform_gateway::ReadHead(head_callback done) {
  impl_->ReadHead(std::move(done));
}

void platform_gateway::WaitForHead(std::uint32_t timeout_ms,
                                   head_callback done) {
  impl_->WaitForHead(timeout_ms, std::move(done));
}

void platform_gateway::ReadSections(std::vector<std::string> digests,
                                    sections_callback done) {
  impl_->ReadSections(std::move(digests), std::move(done));
}

void platform_gateway::Create(const std::string& plural,
                              const std::string& name, std::string spec,
                              write_callback done) {
  impl_->Create(plural, name, std::move(spec), std::move(done));
}

void platform_gateway::Replace(const std::string& plural,
                               const std::string& name, std::string spec,
                               write_callback done) {
  impl_->Replace(plural, name, std::move(spec), kReplaceAttempts,
                 std::move(done));
}

}  // namespace pomelohall
