#include <peridotward/core/accounts/authentication.hpp>

#include <algorithm>

namespace peridotward {

namespace {

char lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                          : letter;
}

bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept
{
    return std::equal(
        a.begin(), a.end(), b.begin(), b.end(), [](char left, char right) {
            return lower(left) == lower(right);
        });
}

/// \returns The key in `value`, or nothing if it isn't `scheme`, spaces and one
/// word.
std::optional<std::string_view>
key_in(std::string_view value, std::string_view scheme)
{
    const auto space = value.find(' ');
    if (space == std::string_view::npos ||
        !equals_ignoring_case(value.substr(0, space), scheme))
        return std::nullopt;
    auto key = value.substr(space);
    while (!key.empty() && key.front() == ' ')
        key.remove_prefix(1);
    while (!key.empty() && (key.back() == ' ' || key.back() == '\t'))
        key.remove_suffix(1);
    const bool one_word = std::all_of(key.begin(), key.end(), [](char each) {
        return each > ' ' && each < '\x7f';
    });
    if (key.empty() || key.size() > account_directory::max_key_bytes ||
        !one_word)
        return std::nullopt;
    return key;
}

} // namespace

authentication authenticate(
    const forward_config_ptr& config,
    const forward_route& route,
    const request_credentials& credentials)
{
    const bool key_needed = !config->accounts.empty() && !route.open_to_all;
    const auto result = [&](authentication_outcome outcome) {
        return authentication{
            key_needed ? outcome : authentication_outcome::accepted, nullptr};
    };
    if (credentials.fields == 0)
        return result(authentication_outcome::no_key);
    const auto key = key_in(credentials.value, credentials.scheme);
    if (credentials.fields > 1 || !key)
        return result(authentication_outcome::malformed);
    const auto* account = config->accounts.find(*key);
    if (account == nullptr)
        return result(authentication_outcome::unknown_key);
    return {
        authentication_outcome::accepted, client_account_ptr{config, account}};
}

} // namespace peridotward
