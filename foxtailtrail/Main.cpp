#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/server/Log.h"
#include "foxtailtrail/server/Settings.h"
#include "foxtailtrail/server/Vm.h"

#include <array>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

namespace {

using namespace foxtail;
namespace options = boost::program_options;

// Exit statuses, as documented in the help.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr std::string_view version = "0.1.0";

// Set by the signal handler.
volatile std::sig_atomic_t stopSignal = 0;

void requestStop(int) { stopSignal = 1; }

// Reads the settings file and prints its faults.
std::optional<Settings> readOrReport(const std::string& file)
{
    SettingsResult settings = readSettings(file);
    if (settings)
        return settings.value();
    for (const SettingsFault& fault : settings.error())
        std::cerr << fault.text() << "\n";
    return std::nullopt;
}

// Takes the one positional argument that a subcommand needs.
std::optional<std::string> settingsArgument(const std::vector<std::string>& arguments, std::string_view subcommand)
{
    if (arguments.size() == 1 && !arguments[0].starts_with("-"))
        return arguments[0];
    std::cerr << "usage: foxtailtrail " << subcommand << " SETTINGS-FILE\n";
    return std::nullopt;
}

int serve(const std::vector<std::string>& arguments)
{
    const auto file = settingsArgument(arguments, "serve");
    if (!file)
        return exitUsage;
    const auto settings = readOrReport(*file);
    if (!settings)
        return exitUsage;
    startLogging(*logLevelByName(settings->logLevel), settings->vmId);
    std::signal(SIGTERM, requestStop);
    std::signal(SIGINT, requestStop);
    std::signal(SIGPIPE, SIG_IGN);
    Result<std::unique_ptr<Vm>> vm = Vm::start(*settings);
    if (!vm) {
        logEvent(LogLevel::Error, "start failed", { { "detail", vm.error().detail } });
        return exitFailure;
    }
    const VmPorts ports = vm.value()->ports();
    std::cout << "listening caller=" << ports.caller << " peer=" << ports.peer << " operator=" << ports.operators
              << " metrics=" << ports.metrics << std::endl;
    constexpr Duration signalCheckInterval = std::chrono::milliseconds(20);
    while (stopSignal == 0 && !vm.value()->isStopRequested())
        std::this_thread::sleep_for(signalCheckInterval);
    vm.value()->stop();
    // Fibers may still wait for other VMs; the process ends without waiting for their timeouts.
    std::cout.flush();
    std::clog.flush();
    std::_Exit(exitSuccess);
}

int check(const std::vector<std::string>& arguments)
{
    const auto file = settingsArgument(arguments, "check");
    if (!file || !readOrReport(*file))
        return exitUsage;
    std::cout << *file << ": the settings are valid\n";
    return exitSuccess;
}

int printVersion(const std::vector<std::string>&)
{
    std::cout << "foxtailtrail " << version << "\n";
    return exitSuccess;
}

struct Subcommand {
    std::string_view name;
    std::string_view usage;
    std::string_view text;
    int (*run)(const std::vector<std::string>&);
};

constexpr std::array<Subcommand, 3> subcommands { {
    { "serve", "serve SETTINGS-FILE", "run a VM until SIGTERM, SIGINT or an operator stops it", serve },
    { "check", "check SETTINGS-FILE", "check a settings file and print each fault with its line", check },
    { "version", "version", "print the version", printVersion },
} };

void printHelp(std::ostream& stream)
{
    stream << "foxtailtrail: a database proxy with session consistency\n\nusage:\n";
    for (const Subcommand& subcommand : subcommands)
        stream << "  foxtailtrail " << subcommand.usage << "\n      " << subcommand.text << "\n";
    stream << "\nexit status: 0 success, 1 the command failed, 2 wrong usage or settings\n";
}

}

int main(int argumentCount, char** arguments)
{
    const std::vector<std::string> words(arguments + 1, arguments + argumentCount);
    if (words.empty()) {
        printHelp(std::cerr);
        return exitUsage;
    }
    if (words[0] == "--help" || words[0] == "help") {
        printHelp(std::cout);
        return exitSuccess;
    }
    for (const Subcommand& subcommand : subcommands) {
        if (subcommand.name == words[0])
            return subcommand.run({ words.begin() + 1, words.end() });
    }
    std::cerr << "foxtailtrail: no subcommand \"" << words[0] << "\"\n";
    printHelp(std::cerr);
    return exitUsage;
}
