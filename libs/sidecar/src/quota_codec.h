#ifndef POMELOHALL_SIDECAR_SRC_QUOTA_CODEC_H_
#define POMELOHALL_SIDECAR_SRC_QUOTA_CODEC_H_

#include <optional>
#include <string>

#include "quota/quota_message.h"

namespace pomelohall {

// Bodies of the exchange between a daemon and the coordinator of quotas.
std::string EncodeQuotaReport(const quota_report& report);
// Returns nothing if the text is malformed.
std::optional<quota_report> DecodeQuotaReport(const std::string& text);
std::string EncodeQuotaAnswer(const quota_answer& answer);
std::optional<quota_answer> DecodeQuotaAnswer(const std::string& text);

}  // namespace pomelohall

#endif  // POMELOHALL_SIDECAR_SRC_QUOTA_CODEC_H_
