#include "gullstall/src/membership/ring.hpp"

#include <algorithm>

#include "gullstall/src/core/hash.hpp"

namespace gullstall {

member_ring make_ring(const member_table &it, const std::string &self)
{
    std::vector<std::pair<std::uint64_t, std::string>> ordered;
    for (const auto &[instance, known] : it.members) {
        if (known.state != wire::member_state::dead || instance == self) {
            ordered.emplace_back(hash_text(instance), instance);
        }
    }
    std::sort(ordered.begin(), ordered.end());
    member_ring out;
    for (auto &[hash, instance] : ordered) {
        if (instance == self) {
            out.own = out.instances.size();
        }
        out.instances.push_back(std::move(instance));
    }
    return out;
}

const std::string &at_distance(const member_ring &it, std::size_t distance)
{
    return it.instances[(it.own + distance) % it.instances.size()];
}

std::vector<std::string> neighbours_of(const member_ring &it)
{
    std::vector<std::string> out;
    std::size_t n = it.instances.size();
    auto add = [&](const std::string &instance) {
        if (std::find(out.begin(), out.end(), instance) == out.end()) {
            out.push_back(instance);
        }
    };
    for (std::size_t distance = 1; distance < n; distance *= 2) {
        add(at_distance(it, distance));
        add(at_distance(it, n - distance));
    }
    return out;
}

}  // namespace gullstall
