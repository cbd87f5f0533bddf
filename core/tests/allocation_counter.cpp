#include "allocation_counter.hpp"

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> count{0};

} // namespace

void* operator new(std::size_t size)
{
    ++count;
    if (void* const memory = std::malloc(size == 0 ? 1 : size))
        return memory;
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace peridotward::query_test {

std::uint64_t allocations() noexcept
{
    return count;
}

} // namespace peridotward::query_test
