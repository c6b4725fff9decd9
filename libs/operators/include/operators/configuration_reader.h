#ifndef POMELOHALL_OPERATORS_CONFIGURATION_READER_H_
#define POMELOHALL_OPERATORS_CONFIGURATION_READER_H_

#include "base/error.h"
#include "model/configuration.h"
#include "model/image.h"
#include "operators/environment.h"

namespace pomelohall {

/// Reads the head, that of EmptyImage() if no version was accepted yet. Fails
/// with `kPlatformUnavailable` or `kProtocolError`.
result<config_head> ReadHead(environment& where);

/// Reads the document of a head from its sections and checks their digests.
/// Fails with `kPlatformUnavailable` or `kProtocolError`.
result<configuration> ReadDocument(environment& where, const config_head& head);

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_CONFIGURATION_READER_H_
