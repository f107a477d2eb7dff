#ifndef GULLSTALL_BUNDLE_HPP
#define GULLSTALL_BUNDLE_HPP

/// Bundle module: the policy that operators sign, its text, signatures and
/// spreading.

#include "gullstall/src/bundle/bundle.hpp"
#include "gullstall/src/bundle/canonical.hpp"
#include "gullstall/src/bundle/diff.hpp"
#include "gullstall/src/bundle/follow.hpp"
#include "gullstall/src/bundle/publish.hpp"
#include "gullstall/src/bundle/rollout.hpp"
#include "gullstall/src/bundle/signature.hpp"

#endif
