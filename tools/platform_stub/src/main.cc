// Stub of the platform's object API for tests and demonstrations.

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "http/http_server.h"
#include "http/http_signals.h"
#include "platform_stub/platform_api.h"

namespace {

using pomelohall::http_server;
using pomelohall::platform_api;

int Run(const std::string& address) {
  boost::asio::io_context io;
  platform_api api(io);
  auto server = http_server::Listen(
      io,
      {.address = address, .max_body_bytes = platform_api::kMaxRequestBytes},
      api.Handler());
  if (!server) {
    std::cerr << server.error().message << "\n";
    return pomelohall::GetErrorInfo(server.error().kind).exit_code;
  }
  std::cout << "listening on " << (*server)->Address() << std::endl;
  const auto signals = pomelohall::OnStopSignal(
      io, [&server, &io] { (*server)->Stop([&io] { io.stop(); }); });
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"In-memory stub of the platform's object API for tests."};
  std::string address = "127.0.0.1:0";
  app.add_option("--listen", address,
                 "IP:PORT to listen on; port 0 selects a free port")
      ->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return Run(address);
}
