#pragma once

// This header stays within C++14, as JsonRpc.cpp is compiled with it: the headers of libjsonrpccpp need that.

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtail {

// How a JSON-RPC call ended. When failed is true, text is the error's message, else the result as JSON.
struct JsonRpcOutcome {
    bool failed = false;
    int code = 0;
    std::string text;
};

// The error code of an error that the called method itself reports; its message is "KIND: detail". The library puts a text of its
// own before messages whose code lies in the reserved range below -32000.
constexpr int jsonRpcApplicationError = 1000;

// The error code of a call whose request or answer could not be carried.
constexpr int jsonRpcTransportError = 1001;

// The server side of JSON-RPC 2.0: checks requests and calls the method by name.
class JsonRpcDispatcher {
public:
    // Runs one method. The parameters and the result are JSON objects as text.
    using Method = std::function<JsonRpcOutcome(const std::string& parameters)>;

    JsonRpcDispatcher();
    ~JsonRpcDispatcher();

    void addMethod(const std::string& name, Method);

    // Answers one request text. Faulty requests get the standard error answers.
    std::string handle(const std::string& request);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

// Carries a request text to a server and stores the answer. Returns false and an error text when it fails.
using JsonRpcTransport = std::function<bool(const std::string& request, std::string& answer, std::string& error)>;

// Makes one JSON-RPC 2.0 call. The parameters are a JSON object as text.
JsonRpcOutcome callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport&);

}
