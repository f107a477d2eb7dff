#ifndef GULLSTALL_POLICY_HPP
#define GULLSTALL_POLICY_HPP

/// The operator's policy for traffic: routes, services and limits.
#include "gullstall/src/policy/traffic_policy.hpp"

#endif
