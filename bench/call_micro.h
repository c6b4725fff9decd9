#ifndef POMELOHALL_BENCH_CALL_MICRO_H_
#define POMELOHALL_BENCH_CALL_MICRO_H_

namespace pomelohall::bench {

/// Runs the microbenchmarks of the steps of a call and prints the time and the
/// allocations of each.
void RunMicrobenchmarks(int argc, char** argv);

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_CALL_MICRO_H_
