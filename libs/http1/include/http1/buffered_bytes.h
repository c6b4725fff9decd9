#ifndef POMELOHALL_HTTP1_BUFFERED_BYTES_H_
#define POMELOHALL_HTTP1_BUFFERED_BYTES_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <string_view>

namespace pomelohall {

/// Returns the readable bytes of a buffer; valid until it changes.
inline std::string_view BufferedBytes(const boost::beast::flat_buffer& buffer) {
  const auto bytes = buffer.cdata();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace pomelohall

#endif  // POMELOHALL_HTTP1_BUFFERED_BYTES_H_
