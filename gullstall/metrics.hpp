#ifndef GULLSTALL_METRICS_HPP
#define GULLSTALL_METRICS_HPP

/// Metrics module: what a node measures of itself for the admin port.

#include "gullstall/src/metrics/latency.hpp"

#endif
