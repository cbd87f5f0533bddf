#include "cases.hpp"

#include <unistd.h>

#include <filesystem>

namespace review {

namespace {

constexpr int instances = 2;
constexpr int requests_per_route = 40; ///< At each instance.
/// A route that was added later breaks the rule if it is served less than this
/// share as often as the first one.
constexpr double min_share = 0.25;
constexpr int deadline_ms = 4000;
/// `contactMs` of the site, and a second.
constexpr milliseconds calm_time{5000};

class deployment
{
public:
    deployment(recorder& record, const std::string& host) : store_{host, 8229}
    {
        for (int i = 0; i < 6; ++i) {
            const std::string service = i < 3 ? "desk" : "photos";
            replicas_.push_back(std::make_unique<replica>(
                replica::identity{
                    "i-" + service + "-" + std::to_string(i),
                    service,
                    "zone-" + std::to_string(i % 2),
                    host,
                    static_cast<std::uint16_t>(9000 + i),
                    4},
                record));
            store_.put(
                "servers/" + replicas_.back()->self().id,
                replicas_.back()->entry());
        }
    }

    void publish(bool with_photos)
    {
        version_ += 2;
        std::vector<std::string> routes{route_json(
            "r-desk", "/desk/", "safe", deadline_ms, R"("service":"desk")")};
        if (with_photos)
            routes.push_back(route_json(
                "r-photos",
                "/photos/",
                "safe",
                deadline_ms,
                R"("service":"photos")"));
        store_.put(
            "op/config",
            config_json(
                version_,
                routes,
                {service_json("desk", 110), service_json("photos", 110)}));
    }

    /// Another program keeps a note on each replica of a service.
    void write_notes(const std::string& service, recorder& record)
    {
        for (const auto& each : replicas_) {
            if (each->self().service != service)
                continue;
            const auto key = "servers/notes/" + each->self().id;
            store_.put(key, "checked by hand");
            record.line("another writer puts " + key);
        }
    }

private:
    store store_;
    std::vector<std::unique_ptr<replica>> replicas_;
    std::uint64_t version_ = 0;
};

/// \returns How many requests were served.
int ask_all(
    const platform& machines,
    recorder& record,
    const std::string& phase,
    const std::string& path)
{
    int served = 0;
    for (int i = 0; i < requests_per_route; ++i) {
        for (int instance = 0; instance < instances; ++instance) {
            auto made = connect_to(
                machines.host(instance),
                platform::callers_port(),
                milliseconds{1000});
            if (!made)
                continue;
            const auto id = phase + path.substr(1, 1) + std::to_string(i) +
                            "-" + std::to_string(instance);
            const auto done =
                ask(*made,
                    record,
                    instance,
                    id,
                    request_text("GET", path + "2f", id, deadline_ms),
                    milliseconds{deadline_ms});
            served += done.status == 200 ? 1 : 0;
        }
        pause_for(milliseconds{100});
    }
    record.line(
        phase + ": " + path + " was served " + std::to_string(served) +
        " times of " + std::to_string(requests_per_route * instances));
    return served;
}

} // namespace

int foreign_keys(const std::string& folder)
{
    recorder record{folder + "/record.txt"};
    const auto temporary = std::filesystem::temp_directory_path() /
                           ("review-2-" + std::to_string(::getpid()));
    std::filesystem::create_directories(temporary);
    const auto host = addresses.others();
    bool ran = false;
    int first = 0;
    int later = 0;
    {
        deployment served{record, host};
        served.publish(false);
        platform machines{
            {temporary.string(), instances, host + ":8229", 0}, record};
        if (!machines.wait_until_ready(milliseconds{8000})) {
            record.line("the instances are not ready");
            return exit_not_run;
        }
        pause_for(milliseconds{1000});
        record.line("a configuration adds /photos/");
        served.publish(true);
        pause_for(calm_time);
        const int all = requests_per_route * instances;
        ran = ask_all(machines, record, "before", "/photos/") == all;
        if (with_trouble())
            served.write_notes("photos", record);
        pause_for(calm_time);
        first = ask_all(machines, record, "after", "/desk/");
        later = ask_all(machines, record, "after", "/photos/");
        ran = ran && first > 0 && machines.own_ends(0) == 0 &&
              machines.own_ends(1) == 0;
    }
    std::filesystem::remove_all(temporary);
    if (!ran) {
        record.line("the case couldn't run");
        return exit_not_run;
    }
    const bool broken = later < min_share * first;
    record.line(broken ? "BROKEN: CONFIG" : "held");
    return broken ? exit_broken : exit_held;
}

} // namespace review
