#ifndef GULLSTALL_CORE_HPP
#define GULLSTALL_CORE_HPP

/// Core module: time, results, ids, hashing and seeded randomness.
/// It includes no other module.

#include "gullstall/src/core/expiry.hpp"
#include "gullstall/src/core/hash.hpp"
#include "gullstall/src/core/hex.hpp"
#include "gullstall/src/core/ids.hpp"
#include "gullstall/src/core/random.hpp"
#include "gullstall/src/core/result.hpp"
#include "gullstall/src/core/siphash.hpp"
#include "gullstall/src/core/time.hpp"

#endif
