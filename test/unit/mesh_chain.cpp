#include <doctest/doctest.h>

#include "gullstall/src/mesh/call_chain.hpp"

using namespace gullstall;

namespace {

struct chain_fixture
{
    mesh::call_chain chain;
    std::uint64_t last = 0;

    /// Simulates a run of route "list" that makes \a calls calls.
    void run(int calls, bool ended_well)
    {
        run_ref id{++last};
        std::string request = "r" + std::to_string(last);
        record_run_start(chain, id, request, "list");
        for (int i = 0; i < calls; ++i) {
            record_call(chain, request, "deep");
        }
        record_run_end(chain, id, request, ended_well);
    }
};

}  // namespace

// Guards against learning too few calls per run from failed runs. A run stops at its first
// failing call; with half of the calls shed, a list would appear to need two calls instead
// of eight, and lists that cannot succeed would be admitted.
TEST_CASE_FIXTURE(chain_fixture, "call chain: failed runs do not shorten the learned chain")
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

TEST_CASE_FIXTURE(chain_fixture, "call chain: changed calls are learned within a few hundred runs")
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
