#ifndef POMELOHALL_DISTRIBUTION_HEAD_READER_H_
#define POMELOHALL_DISTRIBUTION_HEAD_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "distribution/distribution_action.h"
#include "distribution/distribution_options.h"
#include "messages/message.h"

namespace pomelohall {

/// Reads the configuration from the platform for a data centre: watches the
/// head, answers fresh queries in batches and reads the sections of a new
/// version.
class head_reader {
 public:
  /// An answer to a fresh query.
  struct fresh_reply {
    std::string to;
    fresh_answer_message answer;
  };

  head_reader(const distribution_options& options, std::uint64_t seed);

  /// Queues a query, to be answered by a head read that starts after it
  /// arrived.
  void OnFreshQuery(const std::string& from, std::uint64_t id, instant now);

  /// Handles a head and returns the answers to the queries that arrived before
  /// the read started.
  std::vector<fresh_reply> OnHead(head_source source,
                                  const result<config_head>& head,
                                  instant read_started_at, instant now);

  /// Handles sections that were read. Returns the new image, or null if the
  /// answer is obsolete.
  result<config_image_ptr> OnSections(
      config_version version,
      const result<std::vector<config_delta::item>>& items,
      const config_image& held, instant now);

  /// Returns the platform calls to make now.
  /// @param is_reader Whether this daemon has the role of reader.
  distribution_actions Tick(bool is_reader, const config_image& held,
                            instant now);

 private:
  struct query {
    std::string from;
    std::uint64_t id = 0;
    instant arrived;
  };
  struct section_read {
    config_head head;
    config_version base = 0;
  };

  void BackOff(instant now);

  distribution_options options_;
  random_source random_;
  std::vector<query> queries_;
  std::optional<config_head> newest_head_;
  std::optional<section_read> section_read_;
  bool read_in_flight_ = false;
  bool watch_in_flight_ = false;
  instant not_before_{};
  std::size_t failures_ = 0;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DISTRIBUTION_HEAD_READER_H_
