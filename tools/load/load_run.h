#ifndef POMELOHALL_TOOLS_LOAD_LOAD_RUN_H_
#define POMELOHALL_TOOLS_LOAD_LOAD_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "backend/connection_pool.h"
#include "base/random.h"
#include "load_report.h"
#include "load_settings.h"

namespace pomelohall {

/// Sends calls in a closed or open loop and waits for their responses.
class load_run {
 public:
  load_run(boost::asio::io_context& io, const load_settings& settings);

  /// Sends up to `calls` calls to `addresses` in turn and returns when all of
  /// them have ended. No call starts after `end_time`.
  void Run(const std::vector<std::string>& addresses, std::uint64_t calls,
           instant end_time, load_report& report);

 private:
  bool MayStartCall() const;
  void StartCall(instant due);
  void OnCallEnded();
  void StartNextOnSchedule();

  boost::asio::io_context& io_;
  const load_settings& settings_;
  connection_pool pool_;
  boost::asio::steady_timer timer_;
  random_source random_;
  const std::vector<std::string>* addresses_ = nullptr;
  load_report* report_ = nullptr;
  std::size_t next_address_ = 0;
  std::uint64_t remaining_calls_ = 0;
  std::uint64_t in_progress_ = 0;
  instant end_time_;
  instant next_due_;
};

}  // namespace pomelohall

#endif  // POMELOHALL_TOOLS_LOAD_LOAD_RUN_H_
