#include <doctest/doctest.h>

#include "gullstall/src/mesh/call_chain.hpp"

using namespace gullstall;

namespace {

struct chain_fixture
{
    mesh::call_chain chain;
    std::uint64_t last = 0;

    /// A run of "list" that makes \a calls calls before it ends.
    void run(int calls, bool ended_well)
    {
        run_ref id{++last};
        std::string request = "r" + std::to_string(last);
        note_run(chain, id, request, "list");
        for (int i = 0; i < calls; ++i) {
            note_child(chain, request, "deep");
        }
        note_run_end(chain, id, request, ended_well);
    }
};

}  // namespace

// Story: the deep service turns half of its calls away. Runs of lists end at the first
// call that fails, so a list seems to need two calls of it in place of eight, and lists
// are let in that have no chance.
TEST_CASE_FIXTURE(chain_fixture, "chain, many runs end at a failed call, keeps its length")
{
    for (int i = 0; i < 30; ++i) {
        run(8, true);
    }
    for (int i = 0; i < 500; ++i) {
        run(1, false);
    }
    auto calls = learned_calls(chain, "list");
    REQUIRE(calls);
    CHECK(calls->at("deep") == doctest::Approx(8));
}

TEST_CASE_FIXTURE(chain_fixture,
                  "chain, new version of an upstream, is learned in some hundred runs")
{
    for (int i = 0; i < 400; ++i) {
        run(8, true);
    }
    for (int i = 0; i < 800; ++i) {
        run(2, true);
    }
    auto calls = learned_calls(chain, "list");
    REQUIRE(calls);
    CHECK(calls->at("deep") < 4);
}
