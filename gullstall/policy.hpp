#ifndef GULLSTALL_POLICY_HPP
#define GULLSTALL_POLICY_HPP

/// Policy module: the operator's traffic policy with its routes, services,
/// customers and limits.

#include "gullstall/src/policy/traffic_policy.hpp"

#endif
