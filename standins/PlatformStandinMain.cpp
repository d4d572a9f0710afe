#include "standins/PlatformStandin.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <exception>
#include <iostream>

namespace options = boost::program_options;

int main(int argumentCount, char** arguments)
{
    try {
        uint16_t port = 0;
        options::options_description description("platform-standin: a small stand-in for the platform's store");
        description.add_options()("help", "show this text");
        description.add_options()("port", options::value(&port)->default_value(0), "port to listen on, 0 for any");
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
        options::notify(values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
        // Blocks the signals before the first thread starts, so that only sigwait() receives them.
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        foxtail::standins::PlatformStandin standin(port);
        std::cout << "listening on " << standin.port() << std::endl;
        int received = 0;
        sigwait(&signals, &received);
        standin.stop();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "platform-standin: " << error.what() << std::endl;
        return 2;
    }
}
