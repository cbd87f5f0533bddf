#pragma once

#include "standins.hpp"

namespace review {

/// Each case writes `record.txt` into `folder` and returns an exit code of the
/// script that starts it.

/// Configurations change while all replicas are silent.
int config_in_the_dark(const std::string& folder);

/// Clients are late to read a large answer, and send their next request
/// meanwhile.
int late_reader(const std::string& folder);

/// Many clients are late to read large answers.
int late_readers(const std::string& folder);

/// Another writer's entries have keys that end like those of replicas.
int foreign_keys(const std::string& folder);

} // namespace review
