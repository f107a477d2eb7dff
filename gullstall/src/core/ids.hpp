#ifndef GULLSTALL_CORE_IDS_HPP
#define GULLSTALL_CORE_IDS_HPP

#include <cstdint>

namespace gullstall {

/// One call that this node has taken from a caller or from its own worker.
enum class call_ref : std::uint64_t
{
};

/// One call that this node runs on its own worker.
enum class run_ref : std::uint64_t
{
};

/// One question on the admin port.
enum class admin_ref : std::uint64_t
{
};

/// One request to the platform's table or object store.
enum class platform_ref : std::uint64_t
{
};

}  // namespace gullstall

#endif
