#include "gullstall/src/mesh/switches.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace gullstall::mesh {

namespace {

struct named_flag
{
    std::string_view name;
    bool mesh_switches::*member;
};

constexpr std::array all_flags{
    named_flag{"age_of_frames", &mesh_switches::age_of_frames},
    named_flag{"ask_quiet_nodes", &mesh_switches::ask_quiet_nodes},
    named_flag{"chains_need_all", &mesh_switches::chains_need_all},
    named_flag{"admission", &mesh_switches::admission},
    named_flag{"needs_in_weights", &mesh_switches::needs_in_weights},
    named_flag{"shed_chance", &mesh_switches::shed_chance},
    named_flag{"zone_plan", &mesh_switches::zone_plan},
    named_flag{"own_zone_first", &mesh_switches::own_zone_first},
    named_flag{"failure_cost", &mesh_switches::failure_cost},
    named_flag{"cost_draw", &mesh_switches::cost_draw},
    named_flag{"packed_frames", &mesh_switches::packed_frames},
    named_flag{"repeats", &mesh_switches::repeats},
    named_flag{"gate_order", &mesh_switches::gate_order},
    named_flag{"patient_calls", &mesh_switches::patient_calls},
    named_flag{"urgent_share", &mesh_switches::urgent_share},
    named_flag{"kept_chains", &mesh_switches::kept_chains},
    named_flag{"whole_runs", &mesh_switches::whole_runs},
    named_flag{"timed_returns", &mesh_switches::timed_returns},
    named_flag{"spread_returns", &mesh_switches::spread_returns},
    named_flag{"ordered_stops", &mesh_switches::ordered_stops},
    named_flag{"waiting_calls", &mesh_switches::waiting_calls},
};

}  // namespace

result<done> switch_off(mesh_switches &it, std::string_view names)
{
    while (!names.empty()) {
        std::string_view name = names.substr(0, names.find(','));
        names.remove_prefix(std::min(names.size(), name.size() + 1));
        auto found = std::find_if(all_flags.begin(), all_flags.end(),
                                  [&](const named_flag &each) { return each.name == name; });
        if (found == all_flags.end()) {
            return error{error_code::unknown_name, "unknown feature '" + std::string(name) + "'"};
        }
        it.*(found->member) = false;
    }
    return done{};
}

}  // namespace gullstall::mesh
