#ifndef POMELOHALL_OPERATORS_STORE_CALLS_H_
#define POMELOHALL_OPERATORS_STORE_CALLS_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/error.h"
#include "operators/environment.h"
#include "platform/object_store.h"

namespace pomelohall {

/// Starts an asynchronous call with `start(callback)` and blocks until it
/// completes.
template <typename Answer, typename Start>
result<Answer> Await(environment& env, Start start) {
  const auto answer = std::make_shared<std::optional<result<Answer>>>();
  start([answer](result<Answer> got) { *answer = std::move(got); });
  while (!answer->has_value()) env.RunOnce();
  return std::move(**answer);
}

/// Blocking versions of object_store::Get() and List().
inline result<stored_object> GetObject(environment& env,
                                       const std::string& plural,
                                       const std::string& name) {
  return Await<stored_object>(
      env, [&](auto done) { env.Store().Get(plural, name, std::move(done)); });
}

inline result<std::vector<stored_object>> ListObjects(
    environment& env, const std::string& plural) {
  return Await<std::vector<stored_object>>(
      env, [&](auto done) { env.Store().List(plural, std::move(done)); });
}

}  // namespace pomelohall

#endif  // POMELOHALL_OPERATORS_STORE_CALLS_H_
