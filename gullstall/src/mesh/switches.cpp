#include "gullstall/src/mesh/switches.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace gullstall::mesh {

namespace {

struct named_switch
{
    std::string_view name;
    bool mesh_switches::*member;
};

constexpr std::array all_switches{
    named_switch{"age_of_frames", &mesh_switches::age_of_frames},
    named_switch{"ask_quiet_nodes", &mesh_switches::ask_quiet_nodes},
    named_switch{"chains_need_all", &mesh_switches::chains_need_all},
    named_switch{"admission", &mesh_switches::admission},
    named_switch{"needs_in_weights", &mesh_switches::needs_in_weights},
    named_switch{"shed_chance", &mesh_switches::shed_chance},
    named_switch{"zone_plan", &mesh_switches::zone_plan},
    named_switch{"own_zone_first", &mesh_switches::own_zone_first},
    named_switch{"failure_cost", &mesh_switches::failure_cost},
    named_switch{"cost_draw", &mesh_switches::cost_draw},
    named_switch{"packed_frames", &mesh_switches::packed_frames},
    named_switch{"repeats", &mesh_switches::repeats},
    named_switch{"gate_order", &mesh_switches::gate_order},
    named_switch{"patient_calls", &mesh_switches::patient_calls},
    named_switch{"urgent_share", &mesh_switches::urgent_share},
    named_switch{"kept_chains", &mesh_switches::kept_chains},
    named_switch{"whole_runs", &mesh_switches::whole_runs},
    named_switch{"timed_returns", &mesh_switches::timed_returns},
    named_switch{"spread_returns", &mesh_switches::spread_returns},
    named_switch{"ordered_stops", &mesh_switches::ordered_stops},
    named_switch{"waiting_calls", &mesh_switches::waiting_calls},
};

}  // namespace

result<done> switch_off(mesh_switches &it, std::string_view names)
{
    while (!names.empty()) {
        std::string_view name = names.substr(0, names.find(','));
        names.remove_prefix(std::min(names.size(), name.size() + 1));
        auto found = std::find_if(all_switches.begin(), all_switches.end(),
                                  [&](const named_switch &each) { return each.name == name; });
        if (found == all_switches.end()) {
            return error{error_code::unknown_name, "no mechanism '" + std::string(name) + "'"};
        }
        it.*(found->member) = false;
    }
    return done{};
}

}  // namespace gullstall::mesh
