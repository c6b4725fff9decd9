#ifndef POMELOHALL_DAEMON_LOCAL_API_H_
#define POMELOHALL_DAEMON_LOCAL_API_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "daemon/backend_lease.h"
#include "http/http_responder.h"
#include "http/http_server.h"

namespace pomelohall {

/// Handles the requests of the local API. Called on the I/O thread.
class local_api_handler {
 public:
  using text_callback = std::function<void(std::string)>;

  virtual ~local_api_handler() = default;
  virtual result<void> OnAnnounce(backend_announcement announcement) = 0;
  virtual void OnWithdraw() = 0;
  virtual result<void> OnDrain() = 0;
  virtual bool IsReady() const = 0;
  /// Passes the JSON of `/status` to `done`, on the I/O thread.
  virtual void GetStatus(text_callback done) = 0;
  /// Passes the text of `/metrics` to `done`, on the I/O thread.
  virtual void GetMetrics(text_callback done) = 0;
};

/// HTTP listener for the processes of this VM and for operators
/// (docs/design.md, section 15).
class local_api {
 public:
  /// @param handler Must outlive the API.
  local_api(boost::asio::io_context& io, local_api_handler& handler);

  result<void> Listen(const std::string& address);
  std::string Address() const { return server_->Address(); }
  void Stop(std::function<void()> stopped);

 private:
  void OnRequest(const http_request& request,
                 const std::shared_ptr<http_responder>& responder);
  void OnGet(const std::string& path,
             const std::shared_ptr<http_responder>& responder);
  http_response OnPut(const std::string& body);
  http_response OnDrain();

  boost::asio::io_context& io_;
  local_api_handler& handler_;
  std::unique_ptr<http_server> server_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_DAEMON_LOCAL_API_H_
