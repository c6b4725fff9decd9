#ifndef POMELOHALL_PLATFORM_STUB_PLATFORM_API_H_
#define POMELOHALL_PLATFORM_STUB_PLATFORM_API_H_

#include <boost/asio/io_context.hpp>
#include <memory>

#include "http/http_responder.h"

namespace pomelohall {

/// The object API of docs/design.md, section 15, in memory, with the test
/// controls below `/control`. For tests and demonstrations only: it checks no
/// credentials.
///
/// - `POST /control/faults` `{mode: none|down|slow|lose_answers, delay_ms,
///   count}`: `down` answers 503 and ends the watches; `slow` holds every call
///   for `delay_ms`; `lose_answers` lets writes take effect and closes the
///   connection without an answer (reads are not affected). The mode ends after
///   `count` affected calls; 0 keeps it until it is changed.
/// - `GET /control/calls`: `{total, verbs: {verb: {plural: count}}}`.
///
/// Use:
/// @code
/// platform_api api(io);
/// auto server = http_server::Listen(
///     io, {.max_body_bytes = platform_api::kMaxRequestBytes}, api.Handler());
/// @endcode
class platform_api {
 public:
  /// Above the largest object, so that the API itself refuses what is too
  /// large.
  static constexpr std::size_t kMaxRequestBytes = 4'194'304;

  explicit platform_api(boost::asio::io_context& io);
  ~platform_api();
  platform_api(const platform_api&) = delete;
  platform_api& operator=(const platform_api&) = delete;

  /// Returns the handler for an http_server on the same io_context. It may
  /// outlive this object.
  http_handler Handler();

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_PLATFORM_API_H_
