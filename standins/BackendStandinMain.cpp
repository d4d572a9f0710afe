#include "standins/BackendStandin.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <stdexcept>

namespace options = boost::program_options;

namespace {

struct CommandLine {
    foxtail::standins::BackendStandinSettings settings;
    std::string role;
    std::string schemaFile;
    uint64_t lagMs = 0;
    uint64_t statementDelayMs = 0;
};

options::options_description describeOptions(CommandLine& commandLine)
{
    options::options_description description("backend-standin: a small stand-in for a backend server of a database group");
    auto add = description.add_options();
    add("help", "show this text");
    add("port", options::value(&commandLine.settings.port)->default_value(0), "port to listen on, 0 for any");
    add("role", options::value(&commandLine.role)->default_value("primary"), "primary or replica");
    add("primary", options::value(&commandLine.settings.primaryAddress), "host:port of the primary, for a replica");
    add("server-id", options::value(&commandLine.settings.serverId)->default_value("server"), "name of this server");
    add("lag-ms", options::value(&commandLine.lagMs)->default_value(0), "time before a replica applies an entry");
    add("statement-delay-ms", options::value(&commandLine.statementDelayMs)->default_value(0), "time added to each statement");
    add("connections", options::value(&commandLine.settings.maxConnections)->default_value(100), "cap over the connections of all clients");
    add("schema", options::value(&commandLine.schemaFile), "file with the SQL that creates the tables");
    add("schema-sql", options::value(&commandLine.settings.schema), "the SQL itself");
    return description;
}

void completeSettings(CommandLine& commandLine)
{
    if (commandLine.role != "primary" && commandLine.role != "replica")
        throw std::invalid_argument("--role must be primary or replica");
    commandLine.settings.role = commandLine.role == "primary" ? foxtail::ServerRole::Primary : foxtail::ServerRole::Replica;
    commandLine.settings.applyDelay = std::chrono::milliseconds(commandLine.lagMs);
    commandLine.settings.statementDelay = std::chrono::milliseconds(commandLine.statementDelayMs);
    if (commandLine.schemaFile.empty())
        return;
    std::ifstream file(commandLine.schemaFile);
    if (!file)
        throw std::invalid_argument("cannot read " + commandLine.schemaFile);
    commandLine.settings.schema.assign(std::istreambuf_iterator<char>(file), {});
}

}

int main(int argumentCount, char** arguments)
{
    try {
        CommandLine commandLine;
        const options::options_description description = describeOptions(commandLine);
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
        options::notify(values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        completeSettings(commandLine);
        // Blocks the signals before the first thread starts, so that only sigwait() receives them.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        foxtail::standins::BackendStandin standin(commandLine.settings);
        std::cout << "listening on " << standin.port() << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        standin.stop();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "backend-standin: " << error.what() << std::endl;
        return 2;
    }
}
