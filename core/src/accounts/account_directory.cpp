#include <peridotward/base/hash.hpp>
#include <peridotward/config/sha256.hpp>
#include <peridotward/core/accounts/account_directory.hpp>

#include <utility>

namespace peridotward {

void account_directory::add(
    client_account account, const std::vector<std::string>& keys)
{
    const auto index = static_cast<account_index>(accounts_.size());
    digest_ = hash_of(account.name, digest_ + 1);
    if (account.priority)
        digest_ = hash_of(std::to_string(*account.priority), digest_);
    for (const auto& key : keys) {
        auto digest = sha256_hex(key);
        digest_ = hash_of(digest, digest_);
        by_digest_.emplace(std::move(digest), index);
    }
    accounts_.push_back(std::move(account));
}

const client_account* account_directory::find(std::string_view key) const
{
    if (key.empty() || key.size() > max_key_bytes)
        return nullptr;
    const auto found = by_digest_.find(sha256_hex(key));
    return found == by_digest_.end() ? nullptr : &accounts_[found->second];
}

} // namespace peridotward
