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

// The exit statuses, which the help text documents.
constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr std::string_view version = "0.1.0";

// Set to 1 by the signal handler when the process is asked to stop.
volatile std::sig_atomic_t stopSignal = 0;

void requestStop(int) { stopSignal = 1; }

// Reads a settings file. If it is not valid, prints its errors and returns std::nullopt.
std::optional<Settings> readSettingsOrPrintErrors(const std::string& file)
{
    SettingsResult settings = readSettings(file);
    if (settings)
        return settings.value();
    for (const SettingsError& settingsError : settings.error())
        std::cerr << settingsError.text() << "\n";
    return std::nullopt;
}

// Returns the settings file, the only argument of a subcommand. Otherwise prints the usage and returns std::nullopt.
std::optional<std::string> parseSettingsArgument(const std::vector<std::string>& arguments, std::string_view subcommand)
{
    if (arguments.size() == 1 && !arguments[0].starts_with("-"))
        return arguments[0];
    std::cerr << "usage: foxtailtrail " << subcommand << " SETTINGS-FILE\n";
    return std::nullopt;
}

int serve(const std::vector<std::string>& arguments)
{
    const auto file = parseSettingsArgument(arguments, "serve");
    if (!file)
        return exitUsage;
    const auto settings = readSettingsOrPrintErrors(*file);
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
    constexpr Duration stopCheckInterval = std::chrono::milliseconds(20);
    while (stopSignal == 0 && !vm.value()->isStopRequested())
        std::this_thread::sleep_for(stopCheckInterval);
    vm.value()->stop();
    // Fibers may still be waiting for replies of other VMs. The process exits without waiting for their timeouts.
    std::cout.flush();
    std::clog.flush();
    std::_Exit(exitSuccess);
}

void printSettingsErrors(const std::vector<std::string>& settingsErrors)
{
    for (const std::string& settingsError : settingsErrors)
        std::cerr << settingsError << "\n";
}

// The environment variable that names the settings file on the platform.
constexpr const char* settingsEnvironmentVariable = "FOXTAILTRAIL_CONFIG";

int proxy(const std::vector<std::string>& arguments)
{
    const char* environmentFile = std::getenv(settingsEnvironmentVariable);
    if (arguments.size() > 1 || (arguments.empty() && !environmentFile)) {
        std::cerr << "usage: foxtailtrail proxy [SETTINGS-FILE]\nWithout a file, " << settingsEnvironmentVariable << " must name one.\n";
        return exitUsage;
    }
    const std::string file = arguments.empty() ? environmentFile : arguments[0];
    ProxyVm::holdReloadSignal();
    const auto settings = readProxySettings(file);
    if (!settings) {
        printSettingsErrors(settings.error());
        return exitUsage;
    }
    startNonBlockingLogging(logLevelByName(settings.value().logLevel).value_or(LogLevel::Info), settings.value().vmId.value);
    const platform::LineCallerCodec callerCodec;
    const platform::LineBackendCodec backendCodec;
    const platform::JsonDeclarationDecoder declarationDecoder;
    const ProxyPlatform platform { callerCodec, backendCodec, declarationDecoder,
        [](const ProxySettings& proxySettings) { return std::make_unique<platform::TableStore>(proxySettings.storeEndpoint); },
        [](const ProxySettings& proxySettings) { return std::make_unique<platform::PromotionClient>(proxySettings.promotionEndpoint); } };
    return ProxyVm::run(file, settings.value(), platform);
}

// The endpoint of the operator port, the secret and the output format, given on the command line.
struct OperatorOptions {
    Endpoint endpoint;
    std::string secret;
    bool isJsonOutput = false;
    // The arguments that are not options, joined by spaces.
    std::string commandText;
};

// Parses the options shared by "command" and "report". If there is nothing to run, prints the help or the error, sets the exit status
// and returns std::nullopt.
std::optional<OperatorOptions> parseOperatorOptions(const std::vector<std::string>& arguments, const std::string& usage, int& exitStatus)
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
    exitStatus = exitUsage;
    try {
        options::store(options::command_line_parser(arguments).options(description).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << "foxtailtrail: " << error.what() << "\n" << usage << description;
        return std::nullopt;
    }
    if (values.count("help") > 0) {
        std::cout << usage << description;
        exitStatus = exitSuccess;
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
    const ErrorKindProperties& properties = errorKindProperties(error.kind);
    std::cerr << "foxtailtrail: " << properties.name << ": "
              << (error.detail.empty() ? std::string(properties.defaultDetail) : error.detail) << "\n";
    return exitFailure;
}

// Runs one command, prints the response or the error, and returns the exit status.
int runCommand(OperatorClient& client, const std::string& commandLine, bool shouldPrintJson)
{
    const Result<OperatorResponse> response = client.runCommand(commandLine);
    if (!response)
        return reportError(response.error());
    if (shouldPrintJson) {
        std::cout << response.value().jsonText << std::endl;
        return exitSuccess;
    }
    if (response.value().table)
        std::cout << renderText(*response.value().table);
    if (!response.value().message.empty())
        std::cout << response.value().message << "\n";
    if (!response.value().key.empty())
        std::cout << "key (shown only now): " << response.value().key << "\n";
    std::cout.flush();
    return exitSuccess;
}

constexpr const char* commandUsage = "usage: foxtailtrail command [OPTIONS] [COMMAND]\n"
                                     "Runs one command of the operators' language, or reads commands from standard input, one a line.\n"
                                     "\"help\" lists the forms of commands.\n";

int command(const std::vector<std::string>& arguments)
{
    int exitStatus = exitUsage;
    const auto parsed = parseOperatorOptions(arguments, commandUsage, exitStatus);
    if (!parsed)
        return exitStatus;
    OperatorClient client(parsed->endpoint, parsed->secret);
    if (!parsed->commandText.empty())
        return runCommand(client, parsed->commandText, parsed->isJsonOutput);
    const bool isInteractive = isatty(STDIN_FILENO) != 0;
    exitStatus = exitSuccess;
    std::string line;
    while (true) {
        if (isInteractive)
            std::cout << "foxtail> " << std::flush;
        if (!std::getline(std::cin, line) || line == "quit" || line == "exit")
            return exitStatus;
        if (line.find_first_not_of(" \t") != std::string::npos && runCommand(client, line, parsed->isJsonOutput) != exitSuccess)
            exitStatus = exitFailure;
    }
}

constexpr const char* reportUsage = "usage: foxtailtrail report [OPTIONS]\n"
                                    "Shows how fast each service burns the error budget of its service-level objective.\n";

int report(const std::vector<std::string>& arguments)
{
    int exitStatus = exitUsage;
    const auto parsed = parseOperatorOptions(arguments, reportUsage, exitStatus);
    if (!parsed)
        return exitStatus;
    OperatorClient client(parsed->endpoint, parsed->secret);
    const Result<RenderedBurnReport> burnReport = client.fetchBurnReport();
    if (!burnReport)
        return reportError(burnReport.error());
    std::cout << (parsed->isJsonOutput ? burnReport.value().json + "\n" : burnReport.value().text);
    return exitSuccess;
}

int check(const std::vector<std::string>& arguments)
{
    const auto file = parseSettingsArgument(arguments, "check");
    if (!file)
        return exitUsage;
    // The settings file of a VM on the platform has a different format.
    if (isProxySettingsFile(*file)) {
        const auto settings = readProxySettings(*file);
        if (!settings) {
            printSettingsErrors(settings.error());
            return exitUsage;
        }
    } else if (!readSettingsOrPrintErrors(*file)) {
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
