#include <peridotward/core/gather/record_merge.hpp>

#include <algorithm>
#include <vector>

namespace peridotward {

std::string
merge_records(std::span<const std::string> bodies, std::size_t max_records)
{
    std::vector<std::string_view> records;
    for (const auto& body : bodies) {
        const std::string_view text{body};
        for (std::size_t at = 0; at + gathered_record_bytes <= text.size();
             at += gathered_record_bytes)
            records.push_back(text.substr(at, gathered_record_bytes));
    }
    const auto kept = std::min(max_records, records.size());
    // char_traits<char> compares as unsigned bytes.
    std::partial_sort(
        records.begin(),
        records.begin() + static_cast<std::ptrdiff_t>(kept),
        records.end(),
        std::greater<>{});
    std::string merged;
    merged.reserve(kept * gathered_record_bytes);
    for (std::size_t i = 0; i < kept; ++i)
        merged += records[i];
    return merged;
}

} // namespace peridotward
