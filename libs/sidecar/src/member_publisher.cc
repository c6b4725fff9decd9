#include "member_publisher.h"

#include <utility>

#include "base/backoff.h"
#include "logging/log_event.h"
#include "member_codec.h"

namespace pomelohall {
namespace {

// Backoff after a failed write. The maximum ensures that the record is back
// within two seconds after the store has recovered.
constexpr duration kRetryPause = std::chrono::milliseconds(100);
constexpr duration kMaxRetryPause = std::chrono::seconds(1);

}  // namespace

member_publisher::member_publisher(boost::asio::io_context& io,
                                   watched_store& store,
                                   member_publisher_options options,
                                   std::uint64_t seed)
    : store_(store),
      options_(std::move(options)),
      random_(seed),
      timer_(io),
      writing_(options_.start_delay.count() == 0) {}

void member_publisher::Publish(const mesh_member& member) {
  name_ = member.name;
  desired_spec_ = EncodeMember(member);
  // A server that leaves before the first write may be in an earlier record.
  if ((serving_ && !member.server) || !member.departed.empty()) StartWriting();
  serving_ = member.server.has_value();
  CheckStart();
  Reconcile();
}

void member_publisher::CheckStart() {
  if (writing_) return;
  if (serving_ && reported_) {
    StartWriting();
  } else if (!std::exchange(waiting_, true)) {
    timer_.expires_after(options_.start_delay);
    timer_.async_wait(
        callbacks_.Bind([this](boost::system::error_code cancelled) {
          if (cancelled) return;
          StartWriting();
          Reconcile();
        }));
  }
}

void member_publisher::StartWriting() {
  if (std::exchange(writing_, true)) return;
  timer_.cancel();
}

void member_publisher::OnStored(const watched_object& object, bool deleted) {
  if (object.name != name_) return;
  if (operation_pending_) {
    if (!report_ || report_->object.revision < object.revision) {
      report_ = {.object = object, .deleted = deleted};
    }
    return;
  }
  if (revision_ && object.revision < *revision_) return;
  revision_ = deleted ? store_revision() : object.revision;
  SetStored(deleted ? std::string() : object.spec);
  reported_ = true;
  CheckStart();
  Reconcile();
}

void member_publisher::SetStored(const std::string& spec) {
  stored_spec_ = spec;
  if (written_ || spec.empty()) return;
  // The answer to the write may have been lost.
  if (spec == desired_spec_) {
    OnFirstWrite();
  } else if (options_.on_earlier_record) {
    options_.on_earlier_record(spec);
  }
}

void member_publisher::OnFirstWrite() {
  if (std::exchange(written_, true)) return;
  if (options_.on_first_write) options_.on_first_write();
}

bool member_publisher::IsStored() const {
  return !operation_pending_ && !desired_spec_.empty() &&
         desired_spec_ == stored_spec_;
}

void member_publisher::AwaitStored(instant deadline,
                                   std::function<void(bool)> done) {
  if (IsStored() || stopped_) {
    done(IsStored());
  } else {
    waiting_calls_.push_back({.deadline = deadline, .done = std::move(done)});
  }
}

void member_publisher::Tick(instant now) {
  if (waiting_calls_.empty()) return;
  auto calls = std::exchange(waiting_calls_, {});
  for (auto& call : calls) {
    if (now < call.deadline) {
      waiting_calls_.push_back(std::move(call));
    } else {
      call.done(false);
    }
  }
}

void member_publisher::EndWaitingCalls(bool stored) {
  for (const auto& call : std::exchange(waiting_calls_, {})) call.done(stored);
}

void member_publisher::Stop() {
  stopped_ = true;
  timer_.cancel();
  EndWaitingCalls(false);
}

void member_publisher::Reconcile() {
  if (IsStored()) EndWaitingCalls(true);
  if (operation_pending_ || stopped_ || !writing_ ||
      desired_spec_ == stored_spec_) {
    return;
  }
  operation_pending_ = true;
  if (revision_) {
    Write();
  } else {
    Read();
  }
}

void member_publisher::Read() {
  store_.Get(store_collection::kMembers, name_,
             callbacks_.Bind([this](const result<watched_object>& object) {
               OnRead(object);
             }));
}

void member_publisher::OnRead(const result<watched_object>& object) {
  operation_pending_ = false;
  const auto report = std::exchange(report_, std::nullopt);
  if (object) {
    revision_ = object->revision;
    SetStored(object->spec);
    if (report) OnStored(report->object, report->deleted);
  } else if (object.error().kind == error_kind::kNotFound) {
    revision_ = store_revision();
    stored_spec_.clear();
  } else {
    RetryLater(object.error());
    return;
  }
  Reconcile();
}

void member_publisher::Write() {
  const watched_object object{
      .name = name_, .revision = *revision_, .spec = desired_spec_};
  auto done = callbacks_.Bind(
      [this, spec = desired_spec_](const result<watched_object>& written) {
        OnWritten(spec, written);
      });
  if (!revision_->IsKnown()) {
    store_.Create(store_collection::kMembers, object, std::move(done));
  } else {
    store_.Replace(store_collection::kMembers, object, std::move(done));
  }
}

void member_publisher::OnWritten(const std::string& spec,
                                 const result<watched_object>& object) {
  operation_pending_ = false;
  const auto report = std::exchange(report_, std::nullopt);
  if (object) {
    log_event(log_level::kInfo, "member_published")
        .With("era", object->revision.era)
        .With("revision", object->revision.number)
        .With("failures", static_cast<std::uint64_t>(failures_))
        .With("record", spec);
    failures_ = 0;
    revision_ = object->revision;
    stored_spec_ = spec;
    OnFirstWrite();
    // The store may have been restored after the write.
    if (report) OnStored(report->object, report->deleted);
    Reconcile();
    return;
  }
  revision_.reset();
  const auto kind = object.error().kind;
  if (kind == error_kind::kConflict || kind == error_kind::kNotFound) {
    Reconcile();  // Reads the stored record first.
    return;
  }
  RetryLater(object.error());
}

void member_publisher::RetryLater(const error& failure) {
  if (stopped_) return;
  if (failures_ == 0) {
    log_event(log_level::kWarning, "member_not_published")
        .With("reason", failure.message);
  }
  operation_pending_ = true;
  timer_.expires_after(
      JitteredBackoff(kRetryPause, kMaxRetryPause, failures_++, random_));
  timer_.async_wait(
      callbacks_.Bind([this](boost::system::error_code cancelled) {
        if (cancelled) return;
        operation_pending_ = false;
        Reconcile();
      }));
}

}  // namespace pomelohall
