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

// The value below which the given share of the samples lies, in milliseconds.
double quantileMs(Samples samples, double share)
{
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<size_t>(share * static_cast<double>(samples.size() - 1));
    return std::chrono::duration<double, std::milli>(samples[index]).count();
}

// Runs one statement on a blocking libpq connection of its own.
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

// Sends one statement through a VM on a kept connection.
void sendThroughVm(HttpClient& client, const CommandLine& line, const char* operation, const std::string& sql, const std::string& parameter)
{
    const std::string body = R"_({"statements":[{"sql":")_" + sql + R"_(","params":[")_" + parameter + R"_("]}]})_";
    const Result<HttpResponse> response
        = client.send({ "POST", std::string("/v1/services/booking/") + operation, { { "Authorization", "Bearer " + line.key } }, body },
            now() + requestTimeout);
    if (!response || response.value().status != httpOk)
        throw std::runtime_error(response ? response.value().body : response.error().detail);
}

Duration timeOf(const std::function<void()>& action)
{
    const TimePoint start = now();
    action();
    return now() - start;
}

void print(const char* name, const Samples& proxied, const Samples& direct)
{
    std::cout << name;
    for (const double share : { 0.5, 0.99 }) {
        const double through = quantileMs(proxied, share);
        const double without = quantileMs(direct, share);
        std::cout << std::fixed << std::setprecision(3) << " | " << through << " | " << without << " | " << std::setprecision(1)
                  << through / without;
    }
    std::cout << "\n";
}

// Measures one statement both ways in turn, so that both see the same load of the machine.
void measure(const char* name, const char* operation, const std::string& sql, const CommandLine& line)
{
    HttpClient client({ "127.0.0.1", line.vmPort }, 1);
    DirectConnection connection(line.serverPort);
    Samples proxied;
    Samples direct;
    for (size_t index = 0; index < line.requestCount; ++index) {
        const std::string number = std::to_string(index);
        proxied.push_back(timeOf([&] { sendThroughVm(client, line, operation, sql, "vm-" + number); }));
        direct.push_back(timeOf([&] { connection.run(sql, "direct-" + number); }));
    }
    print(name, proxied, direct);
}

void run(const CommandLine& line)
{
    std::cout << "statement | VM median ms | direct median ms | ratio | VM p99 ms | direct p99 ms | ratio\n";
    measure("write", "write", "INSERT INTO bookings(slot, child) VALUES($1, 'Ann')", line);
    measure("one-row read", "read", "SELECT slot, child FROM bookings WHERE slot = $1", line);
}

}

int main(int argumentCount, char** arguments)
{
    try {
        CommandLine line;
        options::options_description description("latency-probe: the latency through a VM against a direct connection to the server");
        auto add = description.add_options();
        add("help", "show this text");
        add("vm-port", options::value(&line.vmPort), "the VM's port for callers");
        add("server-port", options::value(&line.serverPort), "the port of the primary backend server");
        add("key", options::value(&line.key), "a key for the service booking");
        add("requests", options::value(&line.requestCount)->default_value(1000), "requests of each kind");
        options::variables_map values;
        options::store(options::parse_command_line(argumentCount, arguments, description), values);
        options::notify(values);
        if (values.count("help") > 0 || line.requestCount == 0) {
            std::cout << description;
            return values.count("help") > 0 ? 0 : 2;
        }
        const auto thread = FiberThread::start("probe");
        thread->call([&] { run(line); });
        return 0;
    } catch (const std::exception& fault) {
        std::cerr << "latency-probe: " << fault.what() << std::endl;
        return 1;
    }
}
