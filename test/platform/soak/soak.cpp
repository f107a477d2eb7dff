/// gullstall-soak: runs gullstall-sidecar as the processes of a whole deployment, with planned
/// work in series and overlapping, and checks what clients and upstreams saw.

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <filesystem>
#include <iostream>

#include "test/platform/soak/deployment.hpp"

namespace {

using gullstall::standin::soak_faults;

void print_faults(const char *name, const std::vector<std::string> &all)
{
    constexpr std::size_t max_printed = 20;
    for (std::size_t i = 0; i < std::min(all.size(), max_printed); ++i) {
        std::cout << "  " << name << ": " << all[i] << "\n";
    }
}

}  // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Fault soak of gullstall-sidecar: planned work on whole processes."};
    gullstall::standin::soak_settings settings;
    double length_s = 20;
    double gap_ms = 700;
    app.add_option("--program", settings.program, "the node's program")->required();
    app.add_option("--folder", settings.folder, "for settings and logs")->required();
    app.add_option("--seed", settings.seed, "of the disruptions and requests");
    app.add_option("--seconds", length_s, "for which there are disruptions");
    app.add_option("--gap-ms", gap_ms, "mean time between two disruptions");
    double longest_run_ms = 1000;
    app.add_option("--longest-run-ms", longest_run_ms, "of the upstreams' runs");
    app.add_option("--clients", settings.clients, "connections to each node");
    app.add_option("--subnet", settings.subnet, "second byte of the loopback addresses, 1 to 254");
    bool prints_crossed = false;
    app.add_flag("--crossed", prints_crossed, "print requests that crossed a close, too");
    app.add_flag("--pauses", settings.pauses, "processes are paused, too");
    CLI11_PARSE(app, argc, argv);
    settings.length = gullstall::from_seconds(length_s);
    settings.longest_run = gullstall::from_milliseconds(longest_run_ms);
    settings.mean_gap = gullstall::from_milliseconds(gap_ms);
    std::filesystem::create_directories(settings.folder);

    boost::asio::io_context io;
    gullstall::standin::deployment all(io, settings);
    boost::asio::co_spawn(io, all.run(), [&io](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
        io.stop();
    });
    io.run();
    soak_faults faults = find_faults(all.record());
    std::cout << "seed " << settings.seed << ": " << summarize(all.record()) << "; "
              << faults.count() << " faults\n";
    print_faults("lost", faults.lost);
    print_faults("twice", faults.twice);
    print_faults("refused though run", faults.refused);
    print_faults("not the upstream's answer", faults.mixed);
    print_faults("run broken off", faults.broken_off);
    print_faults("process", faults.processes);
    if (prints_crossed) {
        print_faults("crossed", faults.crossed);
    }
    return faults.count() == 0 ? 0 : 1;
}
