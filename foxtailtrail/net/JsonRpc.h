#pragma once

// This header uses only C++14, because the headers of libjsonrpccpp require JsonRpc.cpp to be compiled as C++14.

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

// The outcome of a JSON-RPC call. The text is the error message if failed is true, else the result as JSON.
struct JsonRpcOutcome {
    bool failed = false;
    int code = 0;
    std::string text;
};

// The code of an error that the called method reports; its message is "KIND: detail". It lies outside the reserved range below -32000,
// because libjsonrpccpp adds its own prefix to messages with codes of that range.
constexpr int jsonRpcApplicationError = 1000;

// The code of an error that the transport reports, when it could not deliver the request or the response.
constexpr int jsonRpcTransportError = 1001;

// The server side of JSON-RPC 2.0. Validates requests and calls the named method.
class JsonRpcDispatcher {
public:
    // Implements one method. The parameters and the result are JSON objects as text.
    using Method = std::function<JsonRpcOutcome(const std::string& parameters)>;

    JsonRpcDispatcher();
    ~JsonRpcDispatcher();

    void addMethod(const std::string& name, Method);

    // Handles one request and returns the response. Invalid requests get the standard error responses.
    std::string handle(const std::string& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

// Sends a request to a server and stores the response. On failure returns false and stores an error message.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& response, std::string& error)>;

// Makes one JSON-RPC 2.0 call. The parameters are a JSON object as text.
JsonRpcOutcome callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport&);

}
