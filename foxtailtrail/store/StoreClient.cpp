#include "foxtailtrail/store/StoreClient.h"

#include "foxtailtrail/net/Clock.h"

namespace foxtail {

namespace {

    Error storeUnavailable(const Error& cause) { return { ErrorKind::StoreUnavailable, cause.detail }; }

    Error unexpectedStatusError(const HttpResponse& response)
    {
        return { ErrorKind::StoreUnavailable, "the store returned status " + std::to_string(response.status) };
    }

    // A read has no side effects, so every failure is reported as StoreUnavailable.
    Result<json::value> readBody(const Result<HttpResponse>& response)
    {
        if (!response)
            return storeUnavailable(response.error());
        if (response.value().status != 200)
            return unexpectedStatusError(response.value());
        Result<json::value> body = parseJson(response.value().body);
        if (!body)
            return storeUnavailable(body.error());
        return body;
    }

    Result<RegisteredVm> parseRegisteredVm(const json::object& object)
    {
        RegisteredVm vm;
        BOOST_OUTCOME_TRY(vm.id.value, stringMember(object, "id"));
        BOOST_OUTCOME_TRY(vm.address, stringMember(object, "address"));
        BOOST_OUTCOME_TRY(const uint64_t port, unsignedMember(object, "peerPort"));
        vm.peerPort = static_cast<uint16_t>(port);
        BOOST_OUTCOME_TRY(vm.region.value, stringMember(object, "region"));
        BOOST_OUTCOME_TRY(vm.dataCentre.value, stringMember(object, "dataCentre"));
        BOOST_OUTCOME_TRY(vm.leaving, booleanMember(object, "leaving"));
        return vm;
    }

    Result<uint64_t> rowVersionFrom(const json::object& responseBody, const std::string& key)
    {
        BOOST_OUTCOME_TRY(const json::object versions, objectMember(responseBody, "versions"));
        return unsignedMember(versions, key);
    }

}

StoreClient::StoreClient(Endpoint endpoint, Duration timeout)
    : client(std::move(endpoint))
    , timeout(timeout)
{
}

Result<HttpResponse> StoreClient::send(const std::string& method, const std::string& target, std::string body)
{
    return this->client.send({ method, target, { { "Content-Type", "application/json" } }, std::move(body) }, now() + this->timeout);
}

Result<std::optional<StoredRow>> StoreClient::readRow(const std::string& key)
{
    const Result<HttpResponse> response = this->send("GET", "/v1/rows/" + key, "");
    if (response && response.value().status == 404)
        return std::optional<StoredRow>();
    BOOST_OUTCOME_TRY(json::value body, readBody(response));
    if (!body.is_object() || !body.as_object().contains("value"))
        return fail(ErrorKind::StoreUnavailable, "the stored row has no member \"value\"");
    BOOST_OUTCOME_TRY(const uint64_t version, unsignedMember(body.as_object(), "version"));
    return std::optional<StoredRow>({ version, std::move(body.as_object()["value"]) });
}

Result<CompareAndSetOutcome> StoreClient::compareAndSet(const std::string& key, uint64_t version, const json::value& value)
{
    const json::object check { { "key", key }, { "version", version } };
    const json::object put { { "key", key }, { "value", value } };
    const json::object transaction { { "checks", json::array { check } }, { "puts", json::array { put } } };
    const Result<HttpResponse> response = this->send("POST", "/v1/transactions", json::serialize(transaction));
    if (!response && response.error().kind == ErrorKind::OutcomeUnknown)
        return fail(ErrorKind::StoreOutcomeUnknown, response.error().detail);
    if (!response)
        return storeUnavailable(response.error());
    const unsigned status = response.value().status;
    if (status != 200 && status != 409)
        return unexpectedStatusError(response.value());
    const Result<json::object> responseBody = parseJsonObject(response.value().body);
    const Result<uint64_t> rowVersion = responseBody ? rowVersionFrom(responseBody.value(), key) : Result<uint64_t>(responseBody.error());
    if (!rowVersion)
        return fail(ErrorKind::StoreOutcomeUnknown, "cannot parse the store's response: " + rowVersion.error().detail);
    return CompareAndSetOutcome { status == 200, rowVersion.value() };
}

Result<std::string> StoreClient::readObject(const std::string& name)
{
    const Result<HttpResponse> response = this->send("GET", "/v1/objects/" + name, "");
    if (!response)
        return storeUnavailable(response.error());
    if (response.value().status != 200)
        return unexpectedStatusError(response.value());
    return response.value().body;
}

Result<void> StoreClient::writeObject(const std::string& name, const std::string& text)
{
    const Result<HttpResponse> response = this->send("PUT", "/v1/objects/" + name, text);
    if (!response)
        return storeUnavailable(response.error());
    if (response.value().status / 100 != 2)
        return unexpectedStatusError(response.value());
    return succeed();
}

Result<std::vector<RegisteredVm>> StoreClient::listVms()
{
    BOOST_OUTCOME_TRY(const json::value body, readBody(this->send("GET", "/v1/vms", "")));
    if (!body.is_array())
        return fail(ErrorKind::StoreUnavailable, "the store's list of VMs is not an array");
    std::vector<RegisteredVm> vms;
    for (const json::value& entry : body.as_array()) {
        Result<RegisteredVm> vm
            = entry.is_object() ? parseRegisteredVm(entry.as_object()) : Result<RegisteredVm>(fail(ErrorKind::MalformedRequest));
        if (!vm)
            return storeUnavailable(vm.error());
        vms.push_back(std::move(vm.value()));
    }
    return vms;
}

Result<void> StoreClient::registerVm(const RegisteredVm& vm)
{
    const json::object entry { { "id", vm.id.value }, { "address", vm.address }, { "peerPort", vm.peerPort }, { "region", vm.region.value },
        { "dataCentre", vm.dataCentre.value }, { "leaving", vm.leaving } };
    const Result<HttpResponse> response = this->send("PUT", "/v1/vms/" + vm.id.value, json::serialize(entry));
    if (!response)
        return storeUnavailable(response.error());
    if (response.value().status / 100 != 2)
        return unexpectedStatusError(response.value());
    return succeed();
}

}
