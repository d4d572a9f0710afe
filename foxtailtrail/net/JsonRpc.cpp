#include "foxtailtrail/net/JsonRpc.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>

namespace foxtail {

namespace {

    std::string serializeValue(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    bool parseValue(const std::string& text, Json::Value& value)
    {
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        std::string errors;
        return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
    }

    class TransportConnector : public jsonrpc::IClientConnector {
    public:
        explicit TransportConnector(const JsonRpcTransport& transport)
            : transport(transport)
        {
        }

        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            std::string error;
            if (!this->transport(message, result, error))
                throw jsonrpc::JsonRpcException(jsonRpcTransportError, error);
        }

    private:
        const JsonRpcTransport& transport;
    };

}

class JsonRpcDispatcher::Implementation : public jsonrpc::IProcedureInvokationHandler {
public:
    Implementation()
        : protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const JsonRpcOutcome outcome = this->methods.at(procedure.GetProcedureName())(serializeValue(input));
        if (outcome.failed)
            throw jsonrpc::JsonRpcException(outcome.code, outcome.text);
        if (!parseValue(outcome.text, output))
            throw jsonrpc::JsonRpcException(jsonRpcApplicationError, "Internal: the method's result is not JSON");
    }

    void HandleNotificationCall(jsonrpc::Procedure& procedure, const Json::Value& input) override
    {
        Json::Value ignored;
        this->HandleMethodCall(procedure, input, ignored);
    }

    std::unique_ptr<jsonrpc::IProtocolHandler> protocol;
    std::map<std::string, JsonRpcDispatcher::Method> methods;
};

JsonRpcDispatcher::JsonRpcDispatcher()
    : implementation(new Implementation())
{
}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::addMethod(const std::string& name, Method method)
{
    this->implementation->methods[name] = std::move(method);
    this->implementation->protocol->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
}

std::string JsonRpcDispatcher::handle(const std::string& request)
{
    std::string response;
    this->implementation->protocol->HandleRequest(request, response);
    return response;
}

JsonRpcOutcome callJsonRpc(const std::string& method, const std::string& parameters, const JsonRpcTransport& transport)
{
    Json::Value input;
    if (!parseValue(parameters, input))
        return { true, jsonRpcApplicationError, "MalformedRequest: the parameters are not JSON" };
    TransportConnector connector(transport);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return { false, 0, serializeValue(client.CallMethod(method, input)) };
    } catch (const jsonrpc::JsonRpcException& exception) {
        return { true, exception.GetCode(), exception.GetMessage() };
    }
}

}
