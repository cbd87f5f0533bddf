#include "store_state.hpp"

#include <peridotward/base/json.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <stdexcept>

namespace peridotward::testing {

namespace {

std::string base64(const std::string& text)
{
    std::string encoded((text.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(encoded.data()),
        reinterpret_cast<const unsigned char*>(text.data()),
        static_cast<int>(text.size()));
    encoded.resize(static_cast<std::size_t>(length));
    return encoded;
}

} // namespace

std::string query_parameter(std::string_view target, std::string_view key)
{
    auto query = target.substr(std::min(target.find('?'), target.size()));
    while (!query.empty()) {
        query.remove_prefix(1);
        const auto end = std::min(query.find('&'), query.size());
        const auto parameter = query.substr(0, end);
        if (parameter.starts_with(key) && parameter.size() > key.size() &&
            parameter[key.size()] == '=') {
            std::string value;
            const auto text = parameter.substr(key.size() + 1);
            for (std::size_t i = 0; i < text.size(); ++i) {
                if (text[i] == '%' && i + 2 < text.size()) {
                    value += static_cast<char>(std::stoi(
                        std::string{text.substr(i + 1, 2)}, nullptr, 16));
                    i += 2;
                }
                else
                    value += text[i];
            }
            return value;
        }
        query.remove_prefix(end);
    }
    return {};
}

std::uint64_t query_number(std::string_view target, std::string_view key)
{
    const auto value = query_parameter(target, key);
    return value.empty() ? 0 : std::stoull(value);
}

void store_state::put(const std::string& key, const std::string& value)
{
    record(key, items_[key] = {value, ++revision_, false, nullptr});
}

void store_state::remove(const std::string& key)
{
    record(key, items_[key] = {"", ++revision_, true, nullptr});
}

void store_state::record(const std::string& key, item& change)
{
    // Base64 needs no escapes.
    change.text = std::make_shared<const std::string>(
        "{\"key\":" + json(key).dump() +
        ",\"revision\":" + std::to_string(change.revision) +
        (change.removed ? ",\"removed\":true}"
                        : ",\"value\":\"" + base64(change.value) + "\"}"));
    history_[change.revision] = change.text;
    history_bytes_ += change.text->size();
    while (history_bytes_ > max_history_bytes) {
        const auto oldest = history_.begin();
        oldest_revision_ = std::max(oldest_revision_, oldest->first);
        history_bytes_ -= oldest->second->size();
        history_.erase(oldest);
    }
}

void store_state::compact()
{
    oldest_revision_ = revision_;
    history_.clear();
    history_bytes_ = 0;
}

void store_state::take_copy()
{
    copy_ = {items_, revision_};
}

std::vector<lost_write> store_state::restore_copy()
{
    if (!copy_)
        throw std::logic_error{"store stand-in: no copy was taken"};
    std::vector<lost_write> lost;
    for (const auto& [key, current] : items_) {
        if (current.revision <= copy_->revision)
            continue;
        lost.push_back({key, current.value, copy_->revision});
        if (current.removed)
            lost.back().value.reset();
    }
    const auto lost_from = history_.upper_bound(copy_->revision);
    for (auto it = lost_from; it != history_.end(); ++it)
        history_bytes_ -= it->second->size();
    history_.erase(lost_from, history_.end());
    items_ = copy_->items;
    revision_ = copy_->revision;
    oldest_revision_ = std::min(oldest_revision_, revision_);
    ++era_;
    return lost;
}

void store_state::write_again(const lost_write& write)
{
    const auto current = items_.find(write.key);
    if (current != items_.end() &&
        current->second.revision > write.copy_revision)
        return;
    if (write.value)
        put(write.key, *write.value);
    else
        remove(write.key);
}

store_answer store_state::list(
    const std::string& after_key, std::size_t items_per_page) const
{
    std::string items;
    std::size_t count = 0;
    bool has_more = false;
    std::size_t bytes = 0;
    for (auto it = items_.upper_bound(after_key); it != items_.end(); ++it) {
        if (it->second.removed)
            continue;
        bytes += it->second.value.size();
        has_more =
            count == items_per_page || (count > 0 && bytes > max_page_bytes);
        if (has_more)
            break;
        items += (count++ == 0 ? "" : ",") + *it->second.text;
    }
    return {
        200,
        "{\"items\":[" + items +
            "],\"hasMore\":" + (has_more ? "true" : "false") +
            ",\"storeRevision\":" + std::to_string(revision_) + "}"};
}

std::optional<store_answer>
store_state::changes_after(std::uint64_t revision) const
{
    if (revision < oldest_revision_ || revision > revision_)
        return store_answer{410, "this history is not available"};
    if (revision == revision_)
        return std::nullopt;
    std::string events;
    for (auto it = history_.upper_bound(revision); it != history_.end(); ++it)
        events += (events.empty() ? "" : ",") + *it->second;
    return store_answer{
        200,
        "{\"events\":[" + events +
            "],\"storeRevision\":" + std::to_string(revision_) + "}"};
}

store_answer store_state::no_changes() const
{
    return {
        200,
        json{{"events", json::array()}, {"storeRevision", revision_}}.dump()};
}

} // namespace peridotward::testing
