#ifndef GULLSTALL_TEST_SUPPORT_MESH_LOAD_HPP
#define GULLSTALL_TEST_SUPPORT_MESH_LOAD_HPP

#include <chrono>
#include <string>
#include <vector>

#include "test/support/mesh_world.hpp"

namespace gullstall::test {

/// Requests of one kind, with path "/KIND/x" and ids that begin with "KIND-".
struct load_kind
{
    std::string name;
    double per_s = 0;
    duration left = seconds(4);  ///< time until the caller's deadline
};

/// Load generator state. Requests go to the entry nodes in turn.
struct random_load
{
    std::vector<std::string> entries;
    int asked = 0;
};

/// Schedules the requests of \a kind at random times within the next \a length.
inline void ask_at_random(mesh_world &w, random_load &load, const load_kind &kind, duration length)
{
    auto n = static_cast<int>(kind.per_s * std::chrono::duration<double>(length).count());
    for (int i = 0; i < n; ++i) {
        auto when = static_cast<std::int64_t>(draw_fraction(w.random) *
                                              static_cast<double>(length.count()));
        w.at(w.now + duration(when), [&w, &load, kind] {
            std::string id = kind.name + "-" + std::to_string(++load.asked);
            const std::string &entry =
                load.entries[static_cast<std::size_t>(load.asked) % load.entries.size()];
            w.request(entry, id, "/" + kind.name + "/x", kind.left);
        });
    }
}

}  // namespace gullstall::test

#endif
