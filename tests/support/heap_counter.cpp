#include "heap_counter.hpp"

#include <malloc.h>

#include <cstdlib>
#include <new>

namespace {

std::size_t allocated_bytes = 0;  // the tests run on one thread

void* allocate_or_null(std::size_t size) noexcept {
  void* const block = std::malloc(size);
  if (block != nullptr) allocated_bytes += ::malloc_usable_size(block);
  return block;
}

void* allocate(std::size_t size) {
  void* const block = allocate_or_null(size);
  if (block == nullptr) throw std::bad_alloc();
  return block;
}

void release(void* block) {
  allocated_bytes -= ::malloc_usable_size(block);
  std::free(block);
}

}  // namespace

void* operator new(std::size_t size) { return allocate(size); }
void* operator new[](std::size_t size) { return allocate(size); }
void* operator new(std::size_t size, const std::nothrow_t&) noexcept { return allocate_or_null(size); }
void* operator new[](std::size_t size, const std::nothrow_t&) noexcept { return allocate_or_null(size); }
void operator delete(void* block) noexcept { release(block); }
void operator delete[](void* block) noexcept { release(block); }
void operator delete(void* block, std::size_t) noexcept { release(block); }
void operator delete[](void* block, std::size_t) noexcept { release(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { release(block); }
void operator delete[](void* block, const std::nothrow_t&) noexcept { release(block); }

namespace heronwell::test {

std::size_t heap_bytes() { return allocated_bytes; }

}  // namespace heronwell::test
