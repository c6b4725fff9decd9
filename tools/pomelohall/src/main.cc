// Command-line tool for operators. Each subcommand is declared by one Add
// method and returns its output. main() prints the output and maps its error to
// the exit code.

#include <CLI/CLI.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

#include "operators/apply_command.h"
#include "operators/command_output.h"
#include "operators/diff_command.h"
#include "operators/drain_command.h"
#include "operators/io_environment.h"
#include "operators/report_command.h"
#include "operators/status_command.h"
#include "operators/validate_command.h"

namespace pomelohall {
namespace {

constexpr double kMaxTimeoutSeconds = 3600;

/// Options that all subcommands share.
struct global_options {
  std::string platform;
  std::string name_space = std::string(kDefaultNamespace);
  output_format format = output_format::kTable;
};

using command = std::function<command_output()>;

/// Declares the subcommands, parses the command line and runs the selected
/// subcommand.
class command_line {
 public:
  command_line() {
    app_.require_subcommand(1);
    app_.fallthrough();  // Global options may also follow the subcommand.
    app_.add_option("--platform", global_.platform,
                    "IP:PORT of the platform's object API")
        ->envname("POMELOHALL_PLATFORM");
    app_.add_option("--namespace", global_.name_space,
                    "Namespace of the objects on the platform")
        ->capture_default_str();
    app_.add_option("--output", format_name_, "json or table")
        ->check(CLI::IsMember({"json", "table"}))
        ->capture_default_str();
    AddValidate();
    AddApply();
    AddDiff();
    AddStatus();
    AddReport();
    AddDrain();
  }

  CLI::App& App() { return app_; }
  output_format Format() const { return global_.format; }
  /// @pre The command line was parsed.
  command_output RunSelected() {
    if (format_name_ == "json") global_.format = output_format::kJson;
    return selected_();
  }

 private:
  // Adds a subcommand. `run` is called by RunSelected() if it is selected.
  CLI::App* AddSubcommand(const std::string& name,
                          const std::string& description, command run) {
    CLI::App* const sub = app_.add_subcommand(name, description);
    sub->callback([this, run = std::move(run)] { selected_ = run; });
    return sub;
  }

  void AddValidate() {
    auto* const sub =
        AddSubcommand("validate", "Checks a configuration document", [this] {
          return WithDocument([this](const std::string& text) {
            return RunValidate(text, global_.format);
          });
        });
    AddFileArgument(sub)->required();
  }

  void AddApply() {
    auto* const sub = AddSubcommand(
        "apply", "Applies a configuration document as the next version",
        [this] { return Apply(); });
    auto* const file = AddFileArgument(sub);
    auto* const resume = sub->add_option(
        "--resume", apply_.resume,
        "Id of a change with an unknown outcome: shows the outcome");
    resume->excludes(file);
    sub->add_flag("--wait", apply_.wait,
                  "Waits until the version is in force in every data centre");
    sub->add_option("--timeout", timeout_s_,
                    "Timeout in seconds for the platform calls, and again for "
                    "--wait")
        ->check(CLI::Range(0.0, kMaxTimeoutSeconds))
        ->capture_default_str();
  }

  command_output Apply() {
    apply_.format = global_.format;
    apply_.timeout = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(timeout_s_));
    const auto run = [this] {
      return WithPlatform(
          [this](environment& env) { return RunApply(env, apply_); });
    };
    if (!apply_.resume.empty()) return run();
    return WithDocument([this, run](const std::string& text) {
      apply_.document = text;
      return run();
    });
  }

  void AddDiff() {
    auto* const sub = AddSubcommand(
        "diff", "Shows the changes that applying a document would make",
        [this] {
          return WithDocument([this](const std::string& text) {
            return WithPlatform([&](environment& env) {
              return RunDiff(env, {.document = text, .format = global_.format});
            });
          });
        });
    AddFileArgument(sub)->required();
  }

  void AddStatus() {
    auto* const sub = AddSubcommand(
        "status", "Shows the versions in force in every data centre", [this] {
          return WithPlatform([this](environment& env) {
            return RunStatus(
                env, {.services = status_services_, .format = global_.format});
          });
        });
    sub->add_flag("--services", status_services_,
                  "Also shows the backend servers of each service");
  }

  void AddReport() {
    auto* const sub = AddSubcommand(
        "report", "Shows the figure, error budget and burn rates of each class",
        [this] { return Report(); });
    sub->add_option("--window", report_window_,
                    "Time range of the report, such as 30m, 24h or 28d")
        ->capture_default_str();
    sub->add_flag("--html", report_.html,
                  "Prints a self-contained HTML page with a chart");
    sub->add_flag("--include-recent", report_.include_recent,
                  "Includes recent minutes whose objects may still be written");
  }

  command_output Report() {
    const auto minutes = ParseReportWindow(report_window_);
    if (!minutes) return Failed(minutes.error());
    report_.window_minutes = *minutes;
    report_.format = global_.format;
    report_.unix_seconds =
        std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    return WithPlatform(
        [this](environment& env) { return RunReport(env, report_); });
  }

  void AddDrain() {
    auto* const sub = AddSubcommand(
        "drain", "Stops sending new work to the backend server of one VM",
        [this] {
          return RunDrain({.daemon = daemon_, .format = global_.format});
        });
    sub->add_option("--daemon", daemon_,
                    "IP:PORT of the local listener of the daemon on the VM")
        ->required();
  }

  CLI::Option* AddFileArgument(CLI::App* sub) {
    return sub->add_option("FILE", file_,
                           "Configuration document (JSON); - reads standard "
                           "input");
  }

  // Calls `run` with the text of the FILE argument.
  command_output WithDocument(
      const std::function<command_output(const std::string&)>& run) {
    if (file_.empty()) {
      return Failed(
          {error_kind::kInvalidRequest, "apply needs FILE or --resume"});
    }
    if (file_ == "-") return run(ReadAll(std::cin));
    std::ifstream stream(file_, std::ios::binary);
    if (!stream) {
      return Failed(
          {error_kind::kInvalidRequest, "cannot read the file " + file_});
    }
    return run(ReadAll(stream));
  }

  static std::string ReadAll(std::istream& stream) {
    return {std::istreambuf_iterator<char>(stream), {}};
  }

  // Calls `run` with access to the platform.
  command_output WithPlatform(
      const std::function<command_output(environment&)>& run) {
    if (global_.platform.empty()) {
      return Failed({error_kind::kInvalidRequest,
                     "this command needs --platform IP:PORT"});
    }
    io_environment env(
        {.address = global_.platform, .name_space = global_.name_space},
        std::cerr);
    return run(env);
  }

  CLI::App app_{
      "Applies the configuration of a service mesh and shows its state.\n"
      "Exit codes: 0 success, 2 usage error, 3 invalid input, 4 conflict, "
      "5 platform unavailable, 6 outcome unknown, 7 not found, 8 deadline "
      "exceeded, 1 any other error.",
      "pomelohall"};
  global_options global_;
  std::string format_name_ = "table";
  std::string file_;
  std::string daemon_;
  double timeout_s_ = 30;
  bool status_services_ = false;
  apply_options apply_;
  std::string report_window_ = "1h";
  report_options report_;
  command selected_;
};

int Print(const command_output& output, output_format format) {
  std::cout << output.text << std::flush;
  std::cerr << ErrorText(output, format) << std::flush;
  return ExitCode(output);
}

}  // namespace
}  // namespace pomelohall

int main(int argc, char** argv) {
  pomelohall::command_line commands;
  try {
    commands.App().parse(argc, argv);
  } catch (const CLI::ParseError& parse_error) {
    // CLI11 has a separate exit code for each kind of usage error; this program
    // has one for all. exit() returns 0 if only help was requested.
    const bool usage_error = commands.App().exit(parse_error) != 0;
    return usage_error ? pomelohall::GetErrorInfo(
                             pomelohall::error_kind::kInvalidRequest)
                             .exit_code
                       : 0;
  }
  const auto output = commands.RunSelected();
  return pomelohall::Print(output, commands.Format());
}
