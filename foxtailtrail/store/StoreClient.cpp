#include "foxtailtrail/store/StoreClient.h"

#include "foxtailtrail/net/Clock.h"

namespace foxtail {

namespace {

    Error unavailable(const Error& cause) { return { ErrorKind::StoreUnavailable, cause.detail }; }

    Error unexpectedStatus(const HttpResponse& response)
    {
        return { ErrorKind::StoreUnavailable, "the store answered with status " + std::to_string(response.status) };
    }

    // A read has no effect, so whatever goes wrong, the store is just not available.
    Result<json::value> readBody(const Result<HttpResponse>& response)
    {
        if (!response)
            return unavailable(response.error());
        if (response.value().status != 200)
            return unexpectedStatus(response.value());
        Result<json::value> body = parseJson(response.value().body);
        if (!body)
            return unavailable(body.error());
        return body;
    }

    Result<RegisteredVm> parseListedVm(const json::object& object)
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

    Result<uint64_t> versionOf(const json::object& answer, const std::string& key)
    {
        BOOST_OUTCOME_TRY(const json::object versions, objectMember(answer, "versions"));
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
        return fail(ErrorKind::StoreUnavailable, "the store's row has no value");
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
        return unavailable(response.error());
    const unsigned status = response.value().status;
    if (status != 200 && status != 409)
        return unexpectedStatus(response.value());
    const Result<json::object> answer = parseJsonObject(response.value().body);
    const Result<uint64_t> found = answer ? versionOf(answer.value(), key) : Result<uint64_t>(answer.error());
    if (!found)
        return fail(ErrorKind::StoreOutcomeUnknown, "the store's answer cannot be read: " + found.error().detail);
    return CompareAndSetOutcome { status == 200, found.value() };
}

Result<std::string> StoreClient::readObject(const std::string& name)
{
    const Result<HttpResponse> response = this->send("GET", "/v1/objects/" + name, "");
    if (!response)
        return unavailable(response.error());
    if (response.value().status != 200)
        return unexpectedStatus(response.value());
    return response.value().body;
}

Result<void> StoreClient::writeObject(const std::string& name, const std::string& text)
{
    const Result<HttpResponse> response = this->send("PUT", "/v1/objects/" + name, text);
    if (!response)
        return unavailable(response.error());
    if (response.value().status / 100 != 2)
        return unexpectedStatus(response.value());
    return succeed();
}

Result<std::vector<RegisteredVm>> StoreClient::listVms()
{
    BOOST_OUTCOME_TRY(const json::value body, readBody(this->send("GET", "/v1/vms", "")));
    if (!body.is_array())
        return fail(ErrorKind::StoreUnavailable, "the list of VMs is not an array");
    std::vector<RegisteredVm> vms;
    for (const json::value& entry : body.as_array()) {
        Result<RegisteredVm> vm
            = entry.is_object() ? parseListedVm(entry.as_object()) : Result<RegisteredVm>(fail(ErrorKind::MalformedRequest));
        if (!vm)
            return unavailable(vm.error());
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
        return unavailable(response.error());
    if (response.value().status / 100 != 2)
        return unexpectedStatus(response.value());
    return succeed();
}

}
