#include <doctest/doctest.h>

#include "test/support/crash_load.hpp"

using namespace gullstall;

namespace {

/// Requests that nodes may still run of one that has crashed three upstreams.
constexpr std::size_t allowed_runs = 3;

/// The size of a small site: five upstreams in three zones.
struct small_site_fixture
{
    test::crash_experiment what;

    test::crash_outcome play()
    {
        test::crash_world site(what);
        for (const test::repeated_request &it : what.repeated) {
            site.world.crashing.push_back({it.path});
        }
        test::crash_outcome out = site.play();
        MESSAGE("upstreams crashed ", out.crashes, ", runs beyond the limit ", out.runs_after_limit,
                ", lookups served ", out.served, " of ", out.lookups);
        return out;
    }
};

}  // namespace

// Guards against a request that crashes each upstream it reaches, again and again.
TEST_CASE_FIXTURE(small_site_fixture, "request, three upstreams crashed, is not run again")
{
    for (std::uint64_t seed : {1, 2, 3, 4, 5}) {
        what.seed = seed;
        CHECK(play().runs_after_limit <= allowed_runs);
    }
}
