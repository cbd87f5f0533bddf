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
    if (void* const made = std::malloc(size == 0 ? 1 : size))
        return made;
    throw std::bad_alloc{};
}

void operator delete(void* old) noexcept
{
    std::free(old);
}

void operator delete(void* old, std::size_t) noexcept
{
    std::free(old);
}

namespace peridotward::query_test {

std::uint64_t allocations() noexcept
{
    return count;
}

} // namespace peridotward::query_test
