#include "gullstall/src/membership/member.hpp"

#include <tuple>

namespace gullstall {

bool is_newer(const member &a, const member &b)
{
    return std::tie(a.incarnation, a.version, a.state) >
           std::tie(b.incarnation, b.version, b.state);
}

}  // namespace gullstall
