#ifndef POMELOHALL_PLATFORM_STUB_PLATFORM_API_H_
#define POMELOHALL_PLATFORM_STUB_PLATFORM_API_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/http_responder.h"

namespace pomelohall {

/// In-memory implementation of the object API (docs/design.md, section 15) with
/// test endpoints under `/control`. For tests and demonstrations only, because
/// it checks no credentials.
///
/// - `POST /control/faults` `{mode: none|down|slow|lose_answers, delay_ms,
///   count}` injects a fault. `down` rejects calls with 503 and ends the
///   watches. `slow` delays every call by `delay_ms`. `lose_answers` executes
///   writes and closes the connection without a response; reads are not
///   affected. The fault ends after `count` affected calls; 0 keeps it until
///   the mode is changed.
/// - `GET /control/calls` returns the number of calls as `{total, verbs: {verb:
///   {plural: count}}}`.
///
/// @code
/// platform_api api(io);
/// auto server = http_server::Listen(
///     io, {.max_body_bytes = platform_api::kMaxRequestBytes}, api.Handler());
/// @endcode
class platform_api {
 public:
  /// Larger than the largest valid object, so that the API itself rejects
  /// objects that are too large.
  static constexpr std::size_t kMaxRequestBytes = 4'194'304;

  explicit platform_api(boost::asio::io_context& io);
  ~platform_api();
  platform_api(const platform_api&) = delete;
  platform_api& operator=(const platform_api&) = delete;

  /// Returns a handler for an http_server on the same io_context. The handler
  /// may outlive this object.
  http_handler Handler();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_PLATFORM_API_H_
