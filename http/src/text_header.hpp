#pragma once

#include <pistache/http_header.h>

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace peridotward {

/// \brief Header field with any name and a text value. Pistache 0.0.5 stores
/// raw fields but does not send them.
class text_header final : public Pistache::Http::Header::Header
{
public:
    text_header(std::string name, std::string value)
        : name_{std::move(name)}, value_{std::move(value)}
    {}

    [[nodiscard]] const char* name() const override { return name_.c_str(); }
    void write(std::ostream& stream) const override { stream << value_; }

    /// Pistache declares this function in the base class only in builds that
    /// check casts, hence without `override`.
    [[nodiscard]] virtual std::uint64_t hash() const
    {
        return std::hash<std::string>{}(name_);
    }

private:
    std::string name_;
    std::string value_;
};

} // namespace peridotward
