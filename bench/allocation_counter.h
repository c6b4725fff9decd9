#ifndef POMELOHALL_BENCH_ALLOCATION_COUNTER_H_
#define POMELOHALL_BENCH_ALLOCATION_COUNTER_H_

#include <cstdint>

namespace pomelohall::bench {

/// Returns the number of bytes currently allocated on the heap. A program that
/// links this file gets its own global operator new and delete.
std::uint64_t AllocatedBytes();

}  // namespace pomelohall::bench

#endif  // POMELOHALL_BENCH_ALLOCATION_COUNTER_H_
