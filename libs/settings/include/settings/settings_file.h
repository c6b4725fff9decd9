#ifndef POMELOHALL_SETTINGS_SETTINGS_FILE_H_
#define POMELOHALL_SETTINGS_SETTINGS_FILE_H_

#include <string>

#include "base/error.h"

namespace pomelohall {

/// Reads the text of a settings file. Fails with `kInvalidSettings` if it
/// cannot be read or is larger than 1 MB.
result<std::string> ReadSettingsFile(const std::string& path);

}  // namespace pomelohall

#endif  // POMELOHALL_SETTINGS_SETTINGS_FILE_H_
