#ifndef GULLSTALL_TEST_SUPPORT_MESH_LOAD_HPP
#define GULLSTALL_TEST_SUPPORT_MESH_LOAD_HPP

#include <chrono>
#include <string>
#include <vector>

#include "test/support/mesh_world.hpp"

namespace gullstall::test {

/// Requests of one kind, with path "/KIND/x" and ids that begin with "KIND-".
struct request_kind
{
    std::string name;
    double per_s = 0;
    duration time_left = seconds(4);  ///< time until the caller's deadline
};

/// Load generator state. Requests go to the entry nodes in turn.
struct random_load
{
    std::vector<std::string> entry_nodes;
    int sent = 0;
};

/// Schedules the requests of \a kind at random times within the next \a length.
inline void schedule_random_requests(mesh_simulation &w, random_load &load,
                                     const request_kind &kind, duration length)
{
    auto n = static_cast<int>(kind.per_s * std::chrono::duration<double>(length).count());
    for (int i = 0; i < n; ++i) {
        auto when = static_cast<std::int64_t>(draw_fraction(w.random) *
                                              static_cast<double>(length.count()));
        w.schedule_at(w.now + duration(when), [&w, &load, kind] {
            std::string id = kind.name + "-" + std::to_string(++load.sent);
            const std::string &entry =
                load.entry_nodes[static_cast<std::size_t>(load.sent) % load.entry_nodes.size()];
            w.send_request(entry, id, "/" + kind.name + "/x", kind.time_left);
        });
    }
}

}  // namespace gullstall::test

#endif
