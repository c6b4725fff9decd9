#include "allocation_counter.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocated_bytes{0};

}  // namespace

// Counts the usable size, so that the result includes the rounding of the
// allocator.
void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  allocated_bytes += malloc_usable_size(block);
  return block;
}

void operator delete(void* block) noexcept {
  allocated_bytes -= malloc_usable_size(block);
  std::free(block);
}

void operator delete(void* block, std::size_t /*size*/) noexcept {
  operator delete(block);
}

namespace pomelohall::bench {

std::uint64_t AllocatedBytes() { return allocated_bytes; }

}  // namespace pomelohall::bench
