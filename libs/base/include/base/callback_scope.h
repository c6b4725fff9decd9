#ifndef POMELOHALL_BASE_CALLBACK_SCOPE_H_
#define POMELOHALL_BASE_CALLBACK_SCOPE_H_

#include <memory>
#include <utility>

namespace pomelohall {

/// Limits callbacks to the lifetime of the object that passes them on. Held as
/// a member by an object whose callbacks refer to it and may be called after
/// its destruction, for example by a client that it shares with others.
/// Callbacks have to be called on the thread that destroys the scope.
class callback_scope {
 public:
  callback_scope() = default;
  callback_scope(const callback_scope&) = delete;
  callback_scope& operator=(const callback_scope&) = delete;

  /// Returns a function that calls `callback` until End() or the destruction of
  /// the scope, and does nothing from then on.
  template <typename Callback>
  auto Bind(Callback callback) const {
    return [token = std::weak_ptr<const bool>(token_),
            callback = std::move(callback)](auto&&... arguments) {
      if (!token.expired()) {
        callback(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

  /// Disables the callbacks bound so far.
  void End() { token_ = std::make_shared<const bool>(true); }

 private:
  std::shared_ptr<const bool> token_ = std::make_shared<const bool>(true);
};

}  // namespace pomelohall

#endif  // POMELOHALL_BASE_CALLBACK_SCOPE_H_
