#include <doctest/doctest.h>

#include "test/support/member_fleet.hpp"

using namespace gullstall;
using wire::member_state;

namespace {

constexpr const char *second_bundle = R"(
[bundle]
version = 2
previous = none
author = tester
reference = CB-2
)";

/// Three zones: faultbook and boxwatch in each, photodesk in germiston only.
struct cut_zone_fixture : test::member_fleet
{
    std::map<std::string, std::size_t> runs;  ///< by instance
    std::vector<caller_answer> answers;

    cut_zone_fixture()
    {
        w.on_answer = [this](const std::string &, call_ref, caller_answer &&answer) {
            answers.push_back(std::move(answer));
        };
        w.on_run = [this](const std::string &instance, run_on_worker &&run) {
            ++runs[instance];
            w.answer_run(instance, run.run, worker_end::answered);
        };
    }

    void start_zones()
    {
        for (const std::string &zone : zones) {
            for (const char *service : {"faultbook", "faultbook", "boxwatch", "boxwatch"}) {
                add(service, zone);
            }
        }
        add("photodesk", "germiston");
        start(0, {});
        REQUIRE(count_apart() == 0);
    }

    const std::string &entry_of(const std::string &zone) const
    {
        return *std::find_if(names.begin(), names.end(), [&](const std::string &it) {
            return w.nodes.at(it).settings.node.zone == zone;
        });
    }

    caller_answer ask(const std::string &entry, const std::string &service)
    {
        answers.clear();
        w.call(entry, call_request{service, "status", "", "", "", {}, {}});
        w.run_for(milliseconds(20));
        REQUIRE(answers.size() == 1);
        return answers.front();
    }

    std::size_t count_version(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(
            w.nodes.begin(), w.nodes.end(),
            [&](const auto &it) { return version_in_force(it.second.bundles) == version; }));
    }
};

}  // namespace

// A control room's zone loses the other zones and the platform. Calls that its
// own instances can answer must go on, for as long as the cut lasts; the others
// are refused at once, since nobody can serve them.
TEST_CASE_FIXTURE(cut_zone_fixture,
                  "zone, cut off for ten minutes, serves its own and refuses the rest")
{
    start_zones();
    cut_off({"midrand"});
    const std::string entry = entry_of("midrand");
    std::size_t served = 0;
    for (int i = 0; i < 600; ++i) {
        served += ask(entry, i % 2 == 0 ? "boxwatch" : "faultbook").outcome == wire::outcome::ran;
        w.run_for(seconds(1));
    }
    CHECK(served == 600);
    caller_answer refused = ask(entry, "photodesk");
    CHECK(refused.outcome == wire::outcome::not_run);
    CHECK(refused.refusal == wire::refusal::no_upstream);
    CHECK(refused.retry_after_ms > 0);
    CHECK(count_version(1) == w.nodes.size());
}

// The refusal of what nobody in reach can serve is honest within 5 s of the
// cut: until then a call may be tried in vain and end as unknown.
TEST_CASE_FIXTURE(cut_zone_fixture, "zone, just cut off, refuses as not run within 5 s")
{
    SUBCASE("guard off: a suspicion does not run out, ends as unknown")
    {
        set_limits = [](gossip_limits &it) { it.suspicion = seconds(3600); };
        start_zones();
        cut_off({"midrand"});
        w.run_for(seconds(5));
        CHECK(ask(entry_of("midrand"), "photodesk").outcome == wire::outcome::unknown);
        return;
    }
    SUBCASE("guard on") {}
    start_zones();
    cut_off({"midrand"});
    w.run_for(seconds(5));
    CHECK(ask(entry_of("midrand"), "photodesk").refusal == wire::refusal::no_upstream);
    CHECK(ask(entry_of("germiston"), "photodesk").outcome == wire::outcome::ran);
}

// The cut heals, and each side goes on holding the other for dead: half of the
// instances idle while the others are overloaded. Cause: nobody probes the dead.
TEST_CASE_FIXTURE(cut_zone_fixture, "cut, heals, whole again within 5 s")
{
    duration cut_for = seconds(30);
    bool guard = true;
    bool table = true;
    SUBCASE("guard off: the dead are not contacted, table out")
    {
        guard = table = false;
    }
    SUBCASE("guard on, table out")
    {
        table = false;
    }
    SUBCASE("guard on") {}
    SUBCASE("guard on, cut for ten minutes")
    {
        cut_for = seconds(600);
    }
    if (!guard) {
        set_limits = [](gossip_limits &it) { it.contact_dead = false; };
    }
    start_zones();
    w.platform.outage = !table;
    cut_off({"midrand"});
    w.run_for(cut_for);
    CHECK(state_at(entry_of("midrand"), entry_of("germiston")) == member_state::dead);
    w.run_for(milliseconds(370));
    heal();
    duration took = run_until(seconds(30), [&] { return count_apart() == 0; });
    MESSAGE("whole again, ms: ", to_ms(took));
    CHECK((took <= seconds(5)) == guard);
}

// Two cuts at once: every zone is alone. Then they heal one after the other.
TEST_CASE_FIXTURE(cut_zone_fixture,
                  "two cuts at once, each zone serves its own, whole after the heal")
{
    start_zones();
    cut_off({"midrand", "germiston", "centurion"});
    w.run_for(seconds(60));
    for (const std::string &zone : zones) {
        CHECK(ask(entry_of(zone), "boxwatch").outcome == wire::outcome::ran);
    }
    CHECK(ask(entry_of("centurion"), "photodesk").refusal == wire::refusal::no_upstream);
    w.partitions.erase({"midrand", "germiston"});
    w.partitions.erase({"germiston", "midrand"});
    w.run_for(seconds(5));
    CHECK(ask(entry_of("midrand"), "photodesk").outcome == wire::outcome::ran);
    CHECK(ask(entry_of("centurion"), "photodesk").refusal == wire::refusal::no_upstream);
    heal();
    CHECK(run_until(seconds(30), [&] { return count_apart() == 0; }) <= seconds(5));
}

// Instances of a zone are replaced while it is cut off: no side knows the
// other's new ones, and the dead that each remembers are partly gone for good.
TEST_CASE_FIXTURE(cut_zone_fixture,
                  "cut, all nodes of the zone replaced meanwhile, whole after the heal")
{
    start_zones();
    cut_off({"midrand"});
    w.run_for(seconds(20));
    for (const std::string &name : std::vector<std::string>(names)) {
        if (w.nodes.count(name) > 0 && w.nodes.at(name).settings.node.zone == "midrand") {
            w.nodes.erase(name);
        }
    }
    seeds = {endpoint{"127.0.0.1", 20005}};  // a node of germiston
    w.platform.outage = true;
    for (const char *service : {"faultbook", "faultbook", "boxwatch", "boxwatch"}) {
        add(service, "midrand");
    }
    w.run_for(seconds(20));
    heal();
    duration took = run_until(seconds(30), [&] { return count_apart() == 0; });
    MESSAGE("whole again, ms: ", to_ms(took));
    CHECK(took <= seconds(5));
}

// A bundle is published while a zone is cut off. The cut zone keeps the version
// it has, whole; after the heal it has the new one within seconds.
TEST_CASE_FIXTURE(cut_zone_fixture,
                  "cut, publish meanwhile, old version kept and new one after the heal")
{
    start_zones();
    cut_off({"midrand"});
    w.run_for(seconds(1));
    publisher.publish(w.platform, second_bundle);
    w.run_for(seconds(10));
    for (const auto &[name, it] : w.nodes) {
        std::uint64_t expected = it.settings.node.zone == "midrand" ? 1 : 2;
        CHECK(version_in_force(it.bundles) == expected);
    }
    CHECK(ask(entry_of("midrand"), "boxwatch").bundle_version == 1);
    heal();
    w.run_for(seconds(5));
    CHECK(count_version(2) == w.nodes.size());
}
