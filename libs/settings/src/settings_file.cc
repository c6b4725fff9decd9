#include "settings/settings_file.h"

#include <cerrno>
#include <cstddef>
#include <cstring>
#include <fstream>

namespace pomelohall {
namespace {

// Settings files have a few KB; the limit rejects other files given by mistake.
constexpr std::size_t kMaxFileBytes = 1'000'000;

}  // namespace

result<std::string> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Fail(
        error_kind::kInvalidSettings,
        "cannot read settings file \"" + path + "\": " + std::strerror(errno));
  }
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > kMaxFileBytes) {
    return Fail(error_kind::kInvalidSettings,
                "settings file \"" + path + "\" is larger than 1 MB");
  }
  return text;
}

}  // namespace pomelohall
