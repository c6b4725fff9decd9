#ifndef POMELOHALL_PLATFORM_HTTP_OBJECT_STORE_H_
#define POMELOHALL_PLATFORM_HTTP_OBJECT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "base/time.h"
#include "platform/object_json.h"
#include "platform/object_store.h"

namespace pomelohall {

struct http_object_store_options {
  std::string address;  ///< "ip:port" of the platform's object API.
  std::string name_space = std::string(kDefaultNamespace);
  /// Timeout of one call; for a wait, added to the timeout of the wait.
  duration timeout = std::chrono::seconds(2);
};

/// The platform's object API over HTTP and JSON (docs/design.md, section 15).
///
/// Wait timeouts are rounded up to whole seconds. A wait fails with `kNotFound`
/// if the object is deleted, or if it waits for an object that is not created
/// before the timeout. `kPlatformUnavailable` has error::ran `kNotRun` only if
/// no connection could be made.
///
/// The io_context must be run by one thread and outlive the store. Member
/// functions must be called on that thread. Destroying the store fails the
/// calls in progress with `kPlatformUnavailable`.
class http_object_store : public object_store {
 public:
  http_object_store(boost::asio::io_context& io,
                    http_object_store_options options);
  ~http_object_store() override;
  http_object_store(const http_object_store&) = delete;
  http_object_store& operator=(const http_object_store&) = delete;

  void Get(const std::string& plural, const std::string& name,
           object_callback done) override;
  void List(const std::string& plural, list_callback done) override;
  void Create(const stored_object& object, object_callback done) override;
  void Update(const stored_object& object, object_callback done) override;
  void Delete(const stored_object& object, object_callback done) override;
  void WaitForChange(const std::string& plural, const std::string& name,
                     const std::string& known, std::uint32_t timeout_ms,
                     object_callback done) override;

 private:
  class impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_HTTP_OBJECT_STORE_H_
