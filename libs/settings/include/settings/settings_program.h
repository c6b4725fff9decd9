#ifndef POMELOHALL_SETTINGS_SETTINGS_PROGRAM_H_
#define POMELOHALL_SETTINGS_SETTINGS_PROGRAM_H_

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>
#include <string_view>

#include "base/error.h"

namespace pomelohall {

/// Prints why a program cannot start and returns its exit code.
inline int ReportStartupError(std::string_view program, const error& failure) {
  std::cerr << program << ": " << GetErrorInfo(failure.kind).name << ": "
            << failure.message << "\n";
  return GetErrorInfo(failure.kind).exit_code;
}

/// Entry point of a program with a settings file: parses the arguments, loads
/// the settings and calls `run`. With `--check`, only validates the settings.
/// @param load Reads the settings: result<Settings>(const std::string& path).
/// @param run Runs the program: int(const std::string& path, const Settings&).
/// @return The exit code.
template <typename Load, typename Run>
int RunSettingsProgram(int argc, char** argv, std::string_view program,
                       const std::string& description, Load load, Run run) {
  CLI::App app{description};
  std::string path;
  bool check_only = false;
  app.add_option("--settings", path, "JSON file with the settings")->required();
  app.add_flag("--check", check_only,
               "Check the settings and exit without starting");
  CLI11_PARSE(app, argc, argv);
  const auto settings = load(path);
  if (!settings) return ReportStartupError(program, settings.error());
  if (check_only) return 0;
  return run(path, *settings);
}

}  // namespace pomelohall

#endif  // POMELOHALL_SETTINGS_SETTINGS_PROGRAM_H_
