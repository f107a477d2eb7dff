#ifndef GULLSTALL_QUOTA_HPP
#define GULLSTALL_QUOTA_HPP

/// Quota module: request quotas of customers that hold over all nodes together.

#include "gullstall/src/quota/quota_keepers.hpp"
#include "gullstall/src/quota/quota_ledger.hpp"

#endif
