#ifndef GULLSTALL_TIMELINE_HPP
#define GULLSTALL_TIMELINE_HPP

/// Time line module: typed events under a hybrid logical clock.

#include "gullstall/src/timeline/timeline.hpp"
#include "gullstall/src/timeline/view.hpp"

#endif
