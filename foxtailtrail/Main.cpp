#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/proxy/ProxyVm.h"
#include "foxtailtrail/server/Log.h"
#include "foxtailtrail/server/OperatorClient.h"
#include "foxtailtrail/server/Settings.h"
#include "foxtailtrail/server/Vm.h"
#include "platform/JsonDeclarationDecoder.h"
#include "platform/LineProtocol.h"
#include "platform/TableStore.h"

#include <array>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <string>
#include <unistd.h>
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
    for (const SettingsError& fault : settings.error())
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

void printFaults(const std::vector<std::string>& faults)
{
    for (const std::string& fault : faults)
        std::cerr << fault << "\n";
}

// The environment variable that names the settings file on the platform.
constexpr const char* settingsVariable = "FOXTAILTRAIL_CONFIG";

int proxy(const std::vector<std::string>& arguments)
{
    const char* variable = std::getenv(settingsVariable);
    if (arguments.size() > 1 || (arguments.empty() && !variable)) {
        std::cerr << "usage: foxtailtrail proxy [SETTINGS-FILE]\nWithout a file, " << settingsVariable << " must name one.\n";
        return exitUsage;
    }
    const std::string file = arguments.empty() ? variable : arguments[0];
    const auto settings = readProxySettings(file);
    if (!settings) {
        printFaults(settings.error());
        return exitUsage;
    }
    startNonBlockingLogging(logLevelByName(settings.value().logLevel).value_or(LogLevel::Info), settings.value().vmId.value);
    const platform::LineCallerCodec callers;
    const platform::LineBackendCodec backends;
    const platform::JsonDeclarationDecoder declarations;
    const ProxyPlatform platform { callers, backends, declarations,
        [](const ProxySettings& given) { return std::make_unique<platform::TableStore>(given.storeEndpoint); },
        [](const ProxySettings& given) { return std::make_unique<platform::PromotionClient>(given.promotionEndpoint); } };
    return ProxyVm::run(file, settings.value(), platform);
}

// Where the command line finds the operators' port, and how it prints.
struct OperatorOptions {
    Endpoint endpoint;
    std::string secret;
    bool isJsonOutput = false;
    // The words that are no options, joined by spaces.
    std::string commandText;
};

// Reads the options that "command" and "report" share. Prints the help or the fault and returns nothing when there is nothing
// to run; status is then the exit status.
std::optional<OperatorOptions> operatorOptions(const std::vector<std::string>& arguments, const std::string& usage, int& status)
{
    options::options_description description("options");
    auto add = description.add_options();
    OperatorOptions result;
    uint16_t port = 0;
    std::vector<std::string> words;
    add("help", "show this text");
    add("address", options::value(&result.endpoint.address)->default_value("127.0.0.1"), "IP address of a VM");
    add("port", options::value(&port)->default_value(7082), "the VM's operator port");
    add("secret", options::value(&result.secret), "the operators' secret; better given in the environment variable FOXTAIL_SECRET");
    add("json", options::bool_switch(&result.isJsonOutput), "print JSON instead of a table");
    add("text", options::value(&words), "the command");
    options::positional_options_description positional;
    positional.add("text", -1);
    options::variables_map values;
    status = exitUsage;
    try {
        options::store(options::command_line_parser(arguments).options(description).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "foxtailtrail: " << error.what() << "\n" << usage << description;
        return std::nullopt;
    }
    if (values.count("help") > 0) {
        std::cout << usage << description;
        status = exitSuccess;
        return std::nullopt;
    }
    result.endpoint.port = port;
    const char* environmentSecret = std::getenv("FOXTAIL_SECRET");
    if (result.secret.empty() && environmentSecret)
        result.secret = environmentSecret;
    if (result.secret.empty()) {
        std::cerr << "foxtailtrail: no operators' secret: set FOXTAIL_SECRET or give --secret\n";
        return std::nullopt;
    }
    for (const std::string& word : words)
        result.commandText += (result.commandText.empty() ? "" : " ") + word;
    return result;
}

int reportError(const Error& error)
{
    const ErrorKindProperties& row = errorKindProperties(error.kind);
    std::cerr << "foxtailtrail: " << row.name << ": " << (error.detail.empty() ? std::string(row.defaultDetail) : error.detail) << "\n";
    return exitFailure;
}

// Runs one command and prints its answer.
int runCommand(OperatorClient& client, const std::string& text, bool json)
{
    const Result<OperatorResponse> answer = client.runCommand(text);
    if (!answer)
        return reportError(answer.error());
    if (json) {
        std::cout << answer.value().jsonText << std::endl;
        return exitSuccess;
    }
    if (answer.value().table)
        std::cout << renderText(*answer.value().table);
    if (!answer.value().message.empty())
        std::cout << answer.value().message << "\n";
    if (!answer.value().key.empty())
        std::cout << "key (shown only now): " << answer.value().key << "\n";
    std::cout.flush();
    return exitSuccess;
}

constexpr const char* commandUsage = "usage: foxtailtrail command [OPTIONS] [COMMAND]\n"
                                     "Runs one command of the operators' language, or reads commands from standard input, one a line.\n"
                                     "\"help\" lists the forms of commands.\n";

int command(const std::vector<std::string>& arguments)
{
    int status = exitUsage;
    const auto parsed = operatorOptions(arguments, commandUsage, status);
    if (!parsed)
        return status;
    OperatorClient client(parsed->endpoint, parsed->secret);
    if (!parsed->commandText.empty())
        return runCommand(client, parsed->commandText, parsed->isJsonOutput);
    const bool interactive = isatty(STDIN_FILENO) != 0;
    status = exitSuccess;
    std::string line;
    while (true) {
        if (interactive)
            std::cout << "foxtail> " << std::flush;
        if (!std::getline(std::cin, line) || line == "quit" || line == "exit")
            return status;
        if (line.find_first_not_of(" \t") != std::string::npos && runCommand(client, line, parsed->isJsonOutput) != exitSuccess)
            status = exitFailure;
    }
}

constexpr const char* reportUsage = "usage: foxtailtrail report [OPTIONS]\n"
                                    "Shows how fast each service burns the error budget of its service-level objective.\n";

int report(const std::vector<std::string>& arguments)
{
    int status = exitUsage;
    const auto parsed = operatorOptions(arguments, reportUsage, status);
    if (!parsed)
        return status;
    OperatorClient client(parsed->endpoint, parsed->secret);
    const Result<RenderedBurnReport> burned = client.fetchBurnReport();
    if (!burned)
        return reportError(burned.error());
    std::cout << (parsed->isJsonOutput ? burned.value().json + "\n" : burned.value().text);
    return exitSuccess;
}

int check(const std::vector<std::string>& arguments)
{
    const auto file = settingsArgument(arguments, "check");
    if (!file)
        return exitUsage;
    // The settings of a VM on the platform have a layout of their own.
    if (isProxySettingsFile(*file)) {
        const auto settings = readProxySettings(*file);
        if (!settings) {
            printFaults(settings.error());
            return exitUsage;
        }
    } else if (!readOrReport(*file)) {
        return exitUsage;
    }
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
    std::string_view summary;
    int (*run)(const std::vector<std::string>&);
};

constexpr std::array<Subcommand, 6> subcommands { {
    { "serve", "serve SETTINGS-FILE", "run a VM until SIGTERM, SIGINT or an operator stops it", serve },
    { "proxy", "proxy [SETTINGS-FILE]", "run a VM on the platform until SIGTERM or SIGINT", proxy },
    { "check", "check SETTINGS-FILE", "check a settings file and print each fault with its line", check },
    { "command", "command [OPTIONS] [COMMAND]", "run a command of the operators' language on a VM; see command --help", command },
    { "report", "report [OPTIONS]", "show the burn of the service levels; see report --help", report },
    { "version", "version", "print the version", printVersion },
} };

void printHelp(std::ostream& stream)
{
    stream << "foxtailtrail: a database proxy with session consistency\n\nusage:\n";
    for (const Subcommand& subcommand : subcommands)
        stream << "  foxtailtrail " << subcommand.usage << "\n      " << subcommand.summary << "\n";
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
