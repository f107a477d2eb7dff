#include "gullstall/src/mesh/switches.hpp"

#include <algorithm>
#include <array>
#include <string>

namespace gullstall::mesh {

namespace {

struct named_flag
{
    std::string_view name;
    bool mesh_features::*member;
};

constexpr std::array all_flags{
    named_flag{"age_of_frames", &mesh_features::age_of_frames},
    named_flag{"ask_quiet_nodes", &mesh_features::ask_quiet_nodes},
    named_flag{"chains_need_all", &mesh_features::chains_need_all},
    named_flag{"admission", &mesh_features::admission},
    named_flag{"needs_in_weights", &mesh_features::needs_in_weights},
    named_flag{"shed_chance", &mesh_features::shed_chance},
    named_flag{"zone_plan", &mesh_features::zone_plan},
    named_flag{"own_zone_first", &mesh_features::own_zone_first},
    named_flag{"failure_cost", &mesh_features::failure_cost},
    named_flag{"cost_draw", &mesh_features::cost_draw},
    named_flag{"packed_frames", &mesh_features::packed_frames},
    named_flag{"repeats", &mesh_features::repeats},
    named_flag{"gate_order", &mesh_features::gate_order},
    named_flag{"patient_calls", &mesh_features::patient_calls},
    named_flag{"urgent_share", &mesh_features::urgent_share},
    named_flag{"urgent_drain", &mesh_features::urgent_drain},
    named_flag{"kept_chains", &mesh_features::kept_chains},
    named_flag{"whole_runs", &mesh_features::whole_runs},
    named_flag{"timed_returns", &mesh_features::timed_returns},
    named_flag{"spread_returns", &mesh_features::spread_returns},
    named_flag{"ordered_stops", &mesh_features::ordered_stops},
    named_flag{"waiting_calls", &mesh_features::waiting_calls},
    named_flag{"relayed_statuses", &mesh_features::relayed_statuses},
    named_flag{"store_watchers", &mesh_features::store_watchers},
    named_flag{"gate_grants", &mesh_features::gate_grants},
    named_flag{"crash_guard", &mesh_features::crash_guard},
    named_flag{"ordered_trials", &mesh_features::ordered_trials},
    named_flag{"kept_suspects", &mesh_features::kept_suspects},
    named_flag{"upstream_limits", &mesh_features::upstream_limits},
    named_flag{"limit_placing", &mesh_features::limit_placing},
    named_flag{"upstream_errors", &mesh_features::upstream_errors},
    named_flag{"run_costs", &mesh_features::run_costs},
};

}  // namespace

result<done> disable_features(mesh_features &it, std::string_view names)
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
