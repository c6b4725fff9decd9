#ifndef POMELOHALL_PLATFORM_STUB_WATCH_LIST_H_
#define POMELOHALL_PLATFORM_STUB_WATCH_LIST_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "base/time.h"
#include "http/http_responder.h"
#include "platform/object_table.h"

namespace pomelohall {

/// The open watches. Used on the I/O thread only.
class watch_list : public std::enable_shared_from_this<watch_list> {
 public:
  /// Formats an object as JSON for a watch event.
  using formatter = std::function<std::string(const stored_object&)>;

  watch_list(boost::asio::io_context& io, formatter format)
      : io_(io), format_(std::move(format)) {}

  /// Adds a watch on the objects of `collection`, or on one object unless
  /// `name` is empty. The watch ends after `timeout` or when its stream is
  /// closed.
  /// @param initial Changes to send immediately.
  void Add(std::string collection, std::string name, duration timeout,
           const std::vector<object_change>& initial,
           std::shared_ptr<http_response_stream> stream);

  /// Sends a change to all watches on its object.
  void Publish(const object_change& change);

  /// Ends all watches and finishes their streams.
  void EndAll();

 private:
  struct watch {
    std::string collection;
    std::string name;
    std::shared_ptr<http_response_stream> stream;
    std::shared_ptr<boost::asio::steady_timer> timer;
  };

  void Send(const watch& to, const object_change& change) const;
  void End(const std::shared_ptr<watch>& ended);

  boost::asio::io_context& io_;
  formatter format_;
  std::list<std::shared_ptr<watch>> watches_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_PLATFORM_STUB_WATCH_LIST_H_
