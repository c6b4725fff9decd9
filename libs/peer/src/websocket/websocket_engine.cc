#include "websocket/websocket_engine.h"

#include <utility>

#include "websocket/websocket_engine_impl.h"

namespace pomelohall {

std::unique_ptr<websocket_engine> MakeWebsocketEngine(engine_options options) {
  return std::make_unique<websocket_engine_impl>(std::move(options));
}

}  // namespace pomelohall
