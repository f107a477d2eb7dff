#ifndef GULLSTALL_ONCE_HPP
#define GULLSTALL_ONCE_HPP

/// Once module: non-idempotent calls run at most once per idempotency key.

#include "gullstall/src/once/claim.hpp"
#include "gullstall/src/once/claim_group.hpp"
#include "gullstall/src/once/claim_writer.hpp"
#include "gullstall/src/once/key.hpp"
#include "gullstall/src/once/once_book.hpp"

#endif
