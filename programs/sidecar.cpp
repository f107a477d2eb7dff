/// gullstall-sidecar: the node beside an upstream, on a platform whose store
/// keeps what nodes need to find each other.

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>

#include "gullstall/src/runtime/process_signals.hpp"
#include "gullstall/version.hpp"
#include "platform/sidecar.hpp"

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_run = 1;

}  // namespace

int main(int argc, char **argv)
{
    gullstall::runtime::hold_signals();
    CLI::App app{"The gullstall node: takes calls for all services, runs those of its upstream."};
    std::string file;
    bool check = false;
    app.add_option("--config", file, "settings file (INI)")
        ->envname("GULLSTALL_SETTINGS")
        ->required();
    app.add_flag("--check", check, "check the settings, print the effective ones and exit");
    std::string off;
    app.add_option("--switch-off", off,
                   "for trials: mechanisms to do without, with commas between them");
    app.set_version_flag("--version", gullstall::version);
    CLI11_PARSE(app, argc, argv);

    gullstall::mesh::mesh_features on;
    auto switched = gullstall::mesh::disable_features(on, off);
    if (!gullstall::succeeded(switched)) {
        std::cerr << "gullstall-sidecar: --switch-off: " << gullstall::error_of(switched).message
                  << "\n";
        return exit_bad_settings;
    }
    auto settings = platform::load_settings(file);
    if (!gullstall::succeeded(settings)) {
        std::cerr << "gullstall-sidecar: " << gullstall::error_of(settings).message << "\n";
        return exit_bad_settings;
    }
    if (check) {
        std::cout << gullstall::mesh::print_mesh_settings(gullstall::value_of(settings));
        return 0;
    }
    auto ended = platform::run_sidecar(gullstall::value_of(settings), file, on);
    if (!gullstall::succeeded(ended)) {
        std::cerr << "gullstall-sidecar: " << gullstall::error_of(ended).message << "\n";
        return exit_cannot_run;
    }
    // All is flushed and closed. The log library would join its threads now, and
    // where threads take turns on a part of a core that has not ended in time:
    // the process would be killed, and its successor be late by seconds.
    std::quick_exit(0);
}
