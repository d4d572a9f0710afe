#include "foxtailtrail/net/Clock.h"
#include "foxtailtrail/net/FiberThread.h"
#include "foxtailtrail/net/HttpClient.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <functional>
#include <iomanip>
#include <iostream>
#include <libpq-fe.h>
#include <memory>
#include <stdexcept>
#include <vector>

namespace options = boost::program_options;

namespace {

using namespace foxtail;

constexpr Duration requestTimeout = std::chrono::seconds(30);
constexpr unsigned httpOk = 200;

struct CommandLine {
    uint16_t vmPort = 0;
    uint16_t serverPort = 0;
    std::string key;
    size_t requestCount = 0;
};

using Samples = std::vector<Duration>;

// Returns the value below which the given share of the samples lies, in milliseconds.
double quantileMs(Samples samples, double share)
{
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<size_t>(share * static_cast<double>(samples.size() - 1));
    return std::chrono::duration<double, std::milli>(samples[index]).count();
}

// A blocking libpq connection to the server.
class DirectConnection {
public:
    explicit DirectConnection(uint16_t port)
        : connection(PQconnectdb(("host=127.0.0.1 port=" + std::to_string(port) + " dbname=bookings application_name=probe").c_str()))
    {
        if (PQstatus(this->connection) != CONNECTION_OK)
            throw std::runtime_error(PQerrorMessage(this->connection));
    }
    ~DirectConnection() { PQfinish(this->connection); }
    DirectConnection(const DirectConnection&) = delete;
    DirectConnection& operator=(const DirectConnection&) = delete;

    void run(const std::string& sql, const std::string& parameter)
    {
        const char* value = parameter.c_str();
        PGresult* result = PQexecParams(this->connection, sql.c_str(), 1, nullptr, &value, nullptr, nullptr, 0);
        const ExecStatusType status = PQresultStatus(result);
        PQclear(result);
        if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK)
            throw std::runtime_error(PQerrorMessage(this->connection));
    }

private:
    PGconn* connection;
};

// Sends one statement through a VM on a persistent connection.
void sendThroughVm(
    HttpClient& client, const CommandLine& commandLine, const char* operation, const std::string& sql, const std::string& parameter)
{
    const std::string body = R"_({"statements":[{"sql":")_" + sql + R"_(","params":[")_" + parameter + R"_("]}]})_";
    const Result<HttpResponse> response = client.send(
        { "POST", std::string("/v1/services/booking/") + operation, { { "Authorization", "Bearer " + commandLine.key } }, body },
        now() + requestTimeout);
    if (!response || response.value().status != httpOk)
        throw std::runtime_error(response ? response.value().body : response.error().detail);
}

Duration measureDuration(const std::function<void()>& action)
{
    const TimePoint start = now();
    action();
    return now() - start;
}

void print(const char* name, const Samples& proxied, const Samples& direct)
{
    std::cout << name;
    for (const double share : { 0.5, 0.99 }) {
        const double proxiedMs = quantileMs(proxied, share);
        const double directMs = quantileMs(direct, share);
        std::cout << std::fixed << std::setprecision(3) << " | " << proxiedMs << " | " << directMs << " | " << std::setprecision(1)
                  << proxiedMs / directMs;
    }
    std::cout << "\n";
}

// Measures a statement through the VM and directly in alternation, so that both see the same load of the machine.
void measure(const char* name, const char* operation, const std::string& sql, const CommandLine& commandLine)
{
    HttpClient client({ "127.0.0.1", commandLine.vmPort }, 1);
    DirectConnection connection(commandLine.serverPort);
    Samples proxied;
    Samples direct;
    for (size_t index = 0; index < commandLine.requestCount; ++index) {
        const std::string number = std::to_string(index);
        proxied.push_back(measureDuration([&] { sendThroughVm(client, commandLine, operation, sql, "vm-" + number); }));
        direct.push_back(measureDuration([&] { connection.run(sql, "direct-" + number); }));
    }
    print(name, proxied, direct);
}

void run(const CommandLine& commandLine)
{
    std::cout << "statement | VM median ms | direct median ms | ratio | VM p99 ms | direct p99 ms | ratio\n";
    measure("write", "write", "INSERT INTO bookings(slot, child) VALUES($1, 'Ann')", commandLine);
    measure("one-row read", "read", "SELECT slot, child FROM bookings WHERE slot = $1", commandLine);
}

}

int main(int argumentCount, char** arguments)
{
    try {
        CommandLine commandLine;
        options::options_description description("latency-probe: the latency through a VM against a direct connection to the server");
        auto add = description.add_options();
        add("help", "show this text");
        add("vm-port", options::value(&commandLine.vmPort), "the VM's port for callers");
        add("server-port", options::value(&commandLine.serverPort), "the port of the primary backend server");
        add("key", options::value(&commandLine.key), "a key for the service booking");
        add("requests", options::value(&commandLine.requestCount)->default_value(1000), "requests of each kind");
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
        options::notify(values);
        if (values.count("help") > 0 || commandLine.requestCount == 0) {
            std::cout << description;
            return values.count("help") > 0 ? 0 : 2;
        }
        const auto thread = FiberThread::start("probe");
        thread->call([&] { run(commandLine); });
        return 0;
    } catch (const std::exception& fault) {
        std::cerr << "latency-probe: " << fault.what() << std::endl;
        return 1;
    }
}
