/// gullstalld: the node beside a worker.

#include <CLI/CLI.hpp>
#include <iostream>

#include "gullstall/src/runtime/daemon.hpp"
#include "gullstall/src/runtime/process_signals.hpp"
#include "gullstall/version.hpp"
#include "programs/operator_client.hpp"

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_run = 1;

gullstall::result<gullstall::node_settings> load_settings(const std::string &name)
{
    gullstall::result<std::string> text = gullstall::programs::read_file(name);
    if (!gullstall::succeeded(text)) {
        return gullstall::error_of(text);
    }
    return gullstall::parse_settings(name, gullstall::value_of(text));
}

}  // namespace

int main(int argc, char **argv)
{
    gullstall::runtime::hold_signals();
    CLI::App app{"The gullstall node: runs beside a worker and takes calls for all services."};
    std::string file;
    bool check = false;
    app.add_option("--config", file, "settings file (INI)")->required();
    app.add_flag("--check", check, "check the settings, print the effective ones and exit");
    app.set_version_flag("--version", gullstall::version);
    CLI11_PARSE(app, argc, argv);

    auto settings = load_settings(file);
    if (!gullstall::succeeded(settings)) {
        std::cerr << "gullstalld: " << gullstall::error_of(settings).message << "\n";
        return exit_bad_settings;
    }
    if (check) {
        std::cout << gullstall::print_settings(gullstall::value_of(settings));
        return 0;
    }
    auto ended = gullstall::runtime::run_daemon(gullstall::value_of(settings));
    if (!gullstall::succeeded(ended)) {
        std::cerr << "gullstalld: " << gullstall::error_of(ended).message << "\n";
        return exit_cannot_run;
    }
    return 0;
}
