#pragma once

#include <peridotward/core/admission/load_shedder.hpp>
#include <peridotward/core/routing/forward_config.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <string>
#include <unordered_map>
#include <unordered_set>

namespace peridotward {

/// \brief The load shedders of one instance, one for each set of services.
///
/// \remarks Routes to the same services share one. A new set of services, such
/// as another partition of an index, starts without any refusal.
class load_shedders
{
public:
    /// \param first_service Name of the first service of the set.
    /// \param services The number of services in the set.
    /// \returns The load shedder of the set, created on first use.
    [[nodiscard]] boost::intrusive_ptr<load_shedder>
    of(const std::string& first_service, std::size_t services)
    {
        auto& found = by_services_[name_of(first_service, services)];
        if (!found)
            found = new load_shedder{services};
        return found;
    }

    /// \returns The load shedder with a key of `all`, or null.
    [[nodiscard]] load_shedder* find(const std::string& services) const
    {
        const auto found = by_services_.find(services);
        return found == by_services_.end() ? nullptr : found->second.get();
    }

    /// \brief Removes the load shedders of sets that no route uses.
    void keep_only(const forward_config& config)
    {
        std::unordered_set<std::string> used;
        const auto add = [&](forward_service_index first, std::size_t count) {
            used.insert(name_of(config.services[first].name, count));
        };
        for (const auto& route : config.routes) {
            if (route.scatters())
                add(route.shards.front(), route.shards.size());
            for (const auto& target : route.targets)
                add(target.service, 1);
        }
        std::erase_if(by_services_, [&](const auto& entry) {
            return !used.contains(entry.first);
        });
    }

    /// \returns All load shedders, by a name of the set of services that is
    /// the same on all instances.
    [[nodiscard]] const auto& all() const noexcept { return by_services_; }

private:
    [[nodiscard]] static std::string
    name_of(const std::string& first_service, std::size_t services)
    {
        return first_service + '/' + std::to_string(services);
    }

    std::unordered_map<std::string, boost::intrusive_ptr<load_shedder>>
        by_services_;
};

} // namespace peridotward
