#include "http/http_client.h"

#include <utility>

#include "client_call.h"
#include "client_core.h"

namespace pomelohall {

class http_client::impl {
 public:
  impl(boost::asio::io_context& io, http_client_options options)
      : core(std::make_shared<client_core>(io, options)) {}

  std::shared_ptr<client_core> core;
};

http_client::http_client(boost::asio::io_context& io,
                         http_client_options options)
    : impl_(std::make_unique<impl>(io, options)) {}

http_client::~http_client() { impl_->core->Close(); }

void http_client::Send(const std::string& address, http_request request,
                       duration timeout, callback done) {
  SendStreaming(address, std::move(request), timeout, nullptr, std::move(done));
}

void http_client::SendStreaming(const std::string& address,
                                http_request request, duration timeout,
                                body_callback on_body, callback done) {
  std::make_shared<client_call>(impl_->core, address, std::move(request),
                                MonotonicNow() + timeout)
      ->Start(std::move(on_body), std::move(done));
}

}  // namespace pomelohall
