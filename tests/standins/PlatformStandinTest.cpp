#include "standins/PlatformStandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>

namespace foxtail::standins {

namespace {

    namespace http = boost::beast::http;

    class PlatformStandinTest : public testing::Test {
    protected:
        // Returns the status and body of the response, or "lost" when the connection was closed without one.
        std::string send(http::verb verb, const std::string& target, const std::string& body = {})
        {
            boost::asio::io_context context;
            boost::asio::ip::tcp::socket socket(context);
            socket.connect({ boost::asio::ip::address_v4::loopback(), this->standin.port() });
            http::request<http::string_body> request(verb, target, 11, body);
            request.prepare_payload();
            http::write(socket, request);
            boost::beast::flat_buffer buffer;
            http::response<http::string_body> response;
            boost::system::error_code error;
            http::read(socket, buffer, response, error);
            return error ? "lost" : std::to_string(response.result_int()) + " " + response.body();
        }

        std::string put(const std::string& version, const std::string& value)
        {
            return this->send(http::verb::post, "/v1/transactions",
                R"({"checks":[{"key":"a","version":)" + version + R"(}],"puts":[{"key":"a","value":)" + value + "}]}");
        }

        std::string get(const std::string& target) { return this->send(http::verb::get, target); }

        PlatformStandin standin { 0 };
    };

}

// Guards against a store that accepts the transactions of two writers that expect the same version.
TEST_F(PlatformStandinTest, RejectsTransactionWithStaleVersion)
{
    EXPECT_EQ(this->get("/v1/rows/a").substr(0, 3), "404");
    EXPECT_EQ(this->put("0", "{}"), R"(200 {"versions":{"a":1}})");
    EXPECT_EQ(this->put("0", "7"), R"(409 {"versions":{"a":1}})");
    EXPECT_EQ(this->get("/v1/rows/a"), R"(200 {"version":1,"value":{}})");
    EXPECT_EQ(this->put("\"x\"", "7").substr(0, 3), "400");
    EXPECT_EQ(this->send(http::verb::post, "/v1/transactions", "{").substr(0, 3), "400");
    EXPECT_EQ(this->send(http::verb::put, "/v1/objects/o", "text"), "200 {}");
    EXPECT_EQ(this->get("/v1/objects/o"), "200 text");
    EXPECT_EQ(this->get("/v1/objects/p").substr(0, 3), "404");
}

// Guards against faults that have no effect, which would make every test of an outage pass.
TEST_F(PlatformStandinTest, AppliesFaults)
{
    this->send(http::verb::post, "/standin/faults", R"({"loseReplies":1})");
    EXPECT_EQ(this->put("0", "1"), "lost");
    EXPECT_EQ(this->get("/v1/rows/a"), R"(200 {"version":1,"value":1})");
    this->send(http::verb::put, "/v1/vms/v1", R"({"address":"127.0.0.1"})");
    EXPECT_EQ(this->get("/v1/vms"), R"(200 [{"address":"127.0.0.1","id":"v1"}])");
    this->send(http::verb::post, "/standin/faults", R"({"vmListLagMs":3600000})");
    EXPECT_EQ(this->get("/v1/vms"), "200 []");
    this->send(http::verb::post, "/standin/faults", R"({"down":true})");
    EXPECT_EQ(this->get("/v1/rows/a").substr(0, 3), "503");
    EXPECT_EQ(this->put("1", "2").substr(0, 3), "503");
    this->send(http::verb::post, "/standin/faults", R"({"down":false})");
    EXPECT_EQ(this->get("/v1/rows/a"), R"(200 {"version":1,"value":1})");
}

}
