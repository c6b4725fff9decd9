#include "operators/drain_command.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <optional>

#include "http/http_client.h"

namespace pomelohall {
namespace {

constexpr int kMinErrorStatus = 400;

result<http_response> PostDrain(const drain_options& options) {
  boost::asio::io_context io;
  http_client client(io);
  std::optional<result<http_response>> answer;
  client.Send(options.daemon, {.method = "POST", .target = "/v1/drain"},
              options.timeout, [&answer](result<http_response> got) {
                answer = std::move(got);
              });
  io.run();
  return *answer;
}

}  // namespace

command_output RunDrain(const drain_options& options) {
  const auto answer = PostDrain(options);
  if (!answer) return Failed(answer.error());
  if (answer->status >= kMinErrorStatus) {
    return Failed(ParseErrorResponse(*answer));
  }
  if (options.format == output_format::kJson) {
    return Succeeded(
        nlohmann::json{{"daemon", options.daemon}, {"draining", true}}.dump() +
        "\n");
  }
  return Succeeded("the backend server of " + options.daemon +
                   " gets no new work\n");
}

}  // namespace pomelohall
