#include "operators/apply_command.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "acceptance/acceptance_writer.h"
#include "acceptance/change_resolver.h"
#include "acceptance_runner.h"
#include "operators/data_centre_status.h"
#include "operators/status_command.h"

namespace pomelohall {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{500};

std::string MakeNonce(environment& env) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  std::string nonce;
  for (std::uint64_t bits = env.RandomBits(); nonce.size() < 16; bits >>= 4U) {
    nonce.push_back(kHexDigits[bits & 0x0FU]);
  }
  return nonce;
}

result<std::unique_ptr<acceptance_state_machine>> MakeAcceptanceMachine(
    environment& env, const apply_options& options) {
  const acceptance_options limits{.retry_timeout = options.timeout};
  if (!options.resume.empty()) {
    return std::make_unique<change_resolver>(options.resume, limits,
                                             env.RandomBits());
  }
  auto document = ParseConfiguration(options.document);
  if (!document) return tl::unexpected(document.error());
  return std::make_unique<acceptance_writer>(
      std::move(*document), MakeNonce(env), limits, env.RandomBits());
}

json ToJson(const accepted_change& change) {
  return {{"version", change.version}, {"change_id", change.change_id}};
}

command_output FailureOutput(const acceptance_done& done) {
  json details = json::object();
  if (done.winner) details["winner"] = ToJson(*done.winner);
  if (!done.change_id.empty()) details["change_id"] = done.change_id;
  command_output output = Failed(done.outcome.error());
  output.failure_details = details.dump();
  if (done.outcome.error().kind == error_kind::kOutcomeUnknown) {
    output.failure->message +=
        "; find out later with: pomelohall apply --resume " + done.change_id;
  }
  return output;
}

std::string FormatAccepted(const acceptance_done& done, output_format format) {
  const accepted_change& change = *done.outcome;
  if (format == output_format::kJson) {
    json shown = ToJson(change);
    shown["changed"] = done.changed;
    return shown.dump() + "\n";
  }
  return (done.changed ? "accepted version " : "unchanged, version ") +
         std::to_string(change.version) + " (change id " + change.change_id +
         ")\n";
}

std::vector<data_centre_status> LaggingDataCentres(
    const std::vector<data_centre_status>& statuses, config_version version) {
  std::vector<data_centre_status> lagging;
  std::copy_if(statuses.begin(), statuses.end(), std::back_inserter(lagging),
               [version](const auto& each) { return each.lowest < version; });
  return lagging;
}

// Waits until every data centre with a status has `version` in force. Requires
// at least one status, as the state is unknown otherwise.
class in_force_waiter {
 public:
  in_force_waiter(environment& env, config_version version, duration timeout)
      : environment_(env), version_(version), deadline_(env.Now() + timeout) {}

  /// Returns false at the timeout.
  bool Run() {
    while (!IsInForce()) {
      if (environment_.Now() >= deadline_) return false;
      environment_.Sleep(kPollInterval);
    }
    return true;
  }

  command_output Failure() const {
    json names = json::array();
    std::string text;
    for (const auto& each : lagging_) {
      names.push_back({{"data_centre", each.data_centre},
                       {"members", each.members},
                       {"lowest", each.lowest},
                       {"lagging", LaggingMembers(each, version_)}});
      text += (text.empty() ? "" : ", ") + each.data_centre + " (" +
              std::to_string(LaggingMembers(each, version_)) + " of " +
              std::to_string(each.members) + " daemons lag, lowest version " +
              std::to_string(each.lowest) + ")";
    }
    command_output output =
        Failed({error_kind::kDeadlineExceeded,
                "version " + std::to_string(version_) +
                    " is accepted, but not in force everywhere in time: " +
                    (text.empty() ? reason_ : text),
                run_state::kRan});
    output.failure_details =
        json{{"version", version_}, {"lagging", std::move(names)}}.dump();
    return output;
  }

 private:
  // Platform errors are retried until the timeout.
  bool IsInForce() {
    const auto statuses = ReadStatuses(environment_);
    if (!statuses) {
      reason_ = statuses.error().message;
      return false;
    }
    reason_ = "no data centre has reported";
    lagging_ = LaggingDataCentres(*statuses, version_);
    return !statuses->empty() && lagging_.empty();
  }

  environment& environment_;
  config_version version_;
  instant deadline_;
  std::vector<data_centre_status> lagging_;
  std::string reason_;
};

std::string FormatInForce(config_version version, output_format format) {
  if (format == output_format::kJson) return "";
  return "version " + std::to_string(version) +
         " is in force in every data centre\n";
}

}  // namespace

command_output RunApply(environment& env, const apply_options& options) {
  const auto machine = MakeAcceptanceMachine(env, options);
  if (!machine) return Failed(machine.error());
  const acceptance_done done = acceptance_runner(env, **machine).Run();
  if (!done.outcome) return FailureOutput(done);
  const std::string accepted = FormatAccepted(done, options.format);
  if (!options.wait) return Succeeded(accepted);
  const config_version version = done.outcome->version;
  in_force_waiter wait(env, version, options.timeout);
  if (wait.Run())
    return Succeeded(accepted + FormatInForce(version, options.format));
  command_output output = wait.Failure();
  output.text = accepted;
  return output;
}

}  // namespace pomelohall
