#ifndef POMELOHALL_OPERATORS_CONFIGURATION_READER_H_
#define POMELOHALL_OPERATORS_CONFIGURATION_READER_H_

#include "base/error.h"
#include "model/configuration.h"
#include "model/image.h"
#include "operators/environment.h"

namespace pomelohall {

/// Reads the config head, or returns that of EmptyImage() if no version was
/// accepted yet. Fails with `kPlatformUnavailable` or `kProtocolError`.
result<config_head> ReadHead(environment& env);

/// Reads the sections of a head, verifies their digests and parses the
/// document. Fails with `kPlatformUnavailable` or `kProtocolError`.
result<configuration> ReadDocument(environment& env, const config_head& head);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_CONFIGURATION_READER_H_
