#ifndef POMELOHALL_HTTP1_BROKEN_RESPONSES_H_
#define POMELOHALL_HTTP1_BROKEN_RESPONSES_H_

#include <string_view>

#include "http1/message_fault.h"
#include "metrics/metric_registry.h"

namespace pomelohall {

/// Logs that bytes received from `address` are not a response, and counts them.
/// May be called on any thread.
void ReportBrokenResponse(message_fault fault, std::string_view address);

/// Updates the counters of broken responses in `registry`. They have the
/// reports of all readers of the process.
void RecordBrokenResponses(metric_registry& registry);

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_BROKEN_RESPONSES_H_
