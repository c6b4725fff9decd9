#ifndef POMELOHALL_BENCH_ALLOCATION_COUNTER_H_
#define POMELOHALL_BENCH_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace pomelohall::bench {

/// Returns the bytes that are allocated on the heap now. Replaces the global
/// operator new and delete of the program.
std::uint64_t AllocatedBytes();

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_ALLOCATION_COUNTER_H_
