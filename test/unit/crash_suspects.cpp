#include <doctest/doctest.h>

#include <limits>

#include "gullstall/suspects.hpp"

using namespace gullstall;

namespace {

constexpr request_signature first{1};
constexpr request_signature second{2};
constexpr request_signature unknown{3};

/// A table and the time of its last change.
struct suspects_fixture
{
    crash_suspects table;
    time_point now{seconds(1000)};

    suspicion of(request_signature it) const
    {
        return suspicion_of(table, it, now);
    }

    void crash(const std::vector<request_signature> &running)
    {
        record_crash(table, running, sole_isolated(table, running, now), now);
    }
};

}  // namespace

TEST_CASE_FIXTURE(suspects_fixture, "suspect, third crash alone, is quarantined")
{
    crash({first, second});
    CHECK(of(first) == suspicion::suspected);
    crash({first});
    CHECK(of(first) == suspicion::isolated);
    crash({first, unknown});
    CHECK(of(first) == suspicion::quarantined);
    CHECK(of(second) == suspicion::suspected);
    CHECK(of(unknown) == suspicion::suspected);
}

// Guards against an innocent request that is blamed for a crash by one that is less suspicious.
TEST_CASE_FIXTURE(suspects_fixture, "suspect, crashed beside another suspect, is not quarantined")
{
    crash({first});
    crash({first, second});
    crash({first, second});
    CHECK(of(first) == suspicion::isolated);
    CHECK(of(second) == suspicion::isolated);
}

// Guards against an innocent request that is refused because it ran beside a crashing one.
TEST_CASE_FIXTURE(suspects_fixture, "suspects, crashed together thrice, are not quarantined")
{
    for (int i = 0; i < 3; ++i) {
        crash({first, second});
    }
    CHECK(of(first) == suspicion::isolated);
    CHECK(of(second) == suspicion::isolated);
}

TEST_CASE_FIXTURE(suspects_fixture, "suspect, run to its end, is cleared even in quarantine")
{
    for (int i = 0; i < 3; ++i) {
        crash({first});
    }
    CHECK(of(first) == suspicion::quarantined);
    CHECK(clear_suspect(table, first));
    CHECK(of(first) == suspicion::none);
}

// Guards against a quarantine that never ends, and against trials that cost an upstream each
// half minute.
TEST_CASE_FIXTURE(suspects_fixture, "quarantine, crash at each trial, grows")
{
    for (int i = 0; i < 3; ++i) {
        crash({first});
    }
    duration before{};
    for (int i = 0; i < 5; ++i) {
        duration left = quarantine_left(table, first, now);
        CHECK(left > before);
        before = left;
        now += left;
        CHECK(of(first) == suspicion::isolated);
        crash({first});
    }
}

// Guards against a suspect that is remembered for ever.
TEST_CASE_FIXTURE(suspects_fixture, "suspect, no crash for long, is forgotten")
{
    crash({first});
    now += seconds(601);
    CHECK(of(first) == suspicion::none);
    expire_suspects(table, now);
    CHECK(table.by_signature.empty());
}

// Guards against memory that a faulty peer fills, and against losing the worst suspects by it.
TEST_CASE_FIXTURE(suspects_fixture, "suspects, more than fit, keep those in quarantine")
{
    for (int i = 0; i < 3; ++i) {
        crash({first});
    }
    for (std::uint64_t i = 10; i < 10 + 2 * max_crash_suspects; ++i) {
        now += microseconds(1);
        crash({request_signature{i}});
    }
    CHECK(table.by_signature.size() == max_crash_suspects);
    CHECK(of(first) == suspicion::quarantined);
}

// Guards against a count of a faulty peer that keeps a node busy while quarantines are off.
TEST_CASE_FIXTURE(suspects_fixture, "suspect, absurd count and no quarantine, is judged at once")
{
    table.rules.first_quarantine = duration{};
    std::uint32_t absurd = std::numeric_limits<std::uint32_t>::max();
    merge_suspect(table, first, crash_suspect{absurd, absurd, now});
    for (int i = 0; i < 100; ++i) {
        CHECK(of(first) == suspicion::isolated);
    }
}

TEST_CASE("signature, fields moved across their border, differs")
{
    request_content a{"s", "r", "c", "", "GET", "/x", "yz"};
    request_content b{"s", "r", "c", "", "GET", "/xy", "z"};
    CHECK(signature_of(a) == signature_of(a));
    CHECK(signature_of(a) != signature_of(b));
    CHECK(print_signature(signature_of(a)).size() == 16);
}
