#include "http/http_server.h"

#include <utility>

#include "server_core.h"

namespace pomelohall {

class http_server::impl {
 public:
  impl(boost::asio::io_context& io, http_server_options options,
       http_handler handler)
      : core(std::make_shared<server_core>(io, std::move(options),
                                           std::move(handler))) {}

  std::shared_ptr<server_core> core;
};

result<std::unique_ptr<http_server>> http_server::Listen(
    boost::asio::io_context& io, http_server_options options,
    http_handler handler) {
  auto state =
      std::make_unique<impl>(io, std::move(options), std::move(handler));
  if (auto listening = state->core->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return std::unique_ptr<http_server>(new http_server(std::move(state)));
}

http_server::http_server(std::unique_ptr<impl> state)
    : impl_(std::move(state)) {}

http_server::~http_server() { impl_->core->Abort(); }

std::string http_server::Address() const { return impl_->core->Address(); }

void http_server::Stop(std::function<void()> stopped) {
  impl_->core->Stop(std::move(stopped));
}

}  // namespace pomelohall
