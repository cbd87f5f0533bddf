#pragma once

#include <peridotward/core/accounts/client_account.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// \brief Index of an account in `account_directory::accounts`.
using account_index = std::uint32_t;

/// \brief The client accounts of one configuration, found by their keys.
///
/// \remarks Only digests of the keys are kept, so that no dump or log line can
/// show one, and the time of a look-up doesn't depend on where a wrong key
/// differs from a right one.
class account_directory
{
public:
    /// Longest accepted key, in bytes.
    static constexpr std::size_t max_key_bytes = 512;

    /// \brief Adds an account; of accounts with the same key, the first one
    /// holds it.
    void add(client_account account, const std::vector<std::string>& keys);

    /// \returns Whether no account is defined, so that requests need no key.
    [[nodiscard]] bool empty() const noexcept { return accounts_.empty(); }

    /// \returns The account that holds `key`, or null.
    [[nodiscard]] const client_account* find(std::string_view key) const;

    /// \returns All accounts, in the order of the configuration.
    [[nodiscard]] const std::vector<client_account>& accounts() const noexcept
    {
        return accounts_;
    }

    /// \returns The number of keys of all accounts.
    [[nodiscard]] std::size_t key_count() const noexcept
    {
        return by_digest_.size();
    }

    /// \returns A hash of all that decides which keys are accepted and for
    /// which account; 0 if there are no accounts.
    [[nodiscard]] std::uint64_t digest() const noexcept { return digest_; }

private:
    std::vector<client_account> accounts_;
    /// By the SHA-256 of the key, in hexadecimal.
    std::unordered_map<std::string, account_index> by_digest_;
    std::uint64_t digest_ = 0;
};

} // namespace peridotward
