#include "foxtailtrail/commands/CommandEvaluator.h"

#include "foxtailtrail/base/Hash.h"
#include "foxtailtrail/commands/NearestWord.h"

#include <algorithm>

namespace foxtail {

namespace {

    // Visitor that builds the change action of a command.
    struct ActionBuilder {
        const Configuration& configuration;
        const ChangeContext& context;
        std::string& keyText;

        ChangeAction operator()(const ChangeAction& action) const { return action; }

        ChangeAction operator()(const InitializeFleetCommand&) const
        {
            const std::string_view bytes(reinterpret_cast<const char*>(this->context.randomBytes.data()), this->context.randomBytes.size());
            return InitializeFleet { base64UrlEncode(bytes), {} };
        }

        ChangeAction operator()(const IssueKeyCommand& command) const
        {
            IssuedKey issued = makeKey(nextKeyId(this->configuration), command.organisation, this->context.randomBytes);
            this->keyText = std::move(issued.text);
            return IssueKey { std::move(issued.key) };
        }
    };

    // A name that a change refers to, and the existing names of the same kind.
    struct Reference {
        std::string name;
        std::vector<std::string> existingNames;
    };

    template <typename Map> std::vector<std::string> namesOf(const Map& map)
    {
        std::vector<std::string> names;
        names.reserve(map.size());
        for (const auto& [id, value] : map)
            names.push_back(id.value);
        return names;
    }

    std::vector<std::string> serverNames(const Configuration& configuration)
    {
        std::vector<std::string> names;
        for (const auto& [id, database] : configuration.databases) {
            for (const BackendServer& server : database.servers)
                names.push_back(server.id.value);
        }
        return names;
    }

    // Visitor that collects the names that a change refers to.
    struct ReferenceCollector {
        const Configuration& configuration;

        template <typename Other> std::vector<Reference> operator()(const Other&) const { return {}; }

        std::vector<Reference> operator()(const ChangeAction& action) const { return std::visit(*this, action); }
        std::vector<Reference> operator()(const IssueKeyCommand& command) const { return { this->organisation(command.organisation) }; }
        std::vector<Reference> operator()(const DeclareService& change) const { return this->referencesOf(change.service); }
        std::vector<Reference> operator()(const ChangeService& change) const
        {
            std::vector<Reference> references = this->referencesOf(change.service);
            references.push_back(this->service(change.service.name));
            return references;
        }
        std::vector<Reference> operator()(const RemoveService& change) const { return { this->service(change.name) }; }
        std::vector<Reference> operator()(const ChangeDatabase& change) const { return { this->database(change.id) }; }
        std::vector<Reference> operator()(const RemoveDatabase& change) const { return { this->database(change.id) }; }
        std::vector<Reference> operator()(const DeclareServer& change) const { return { this->database(change.database) }; }
        std::vector<Reference> operator()(const ChangeServer& change) const { return { this->server(change.id) }; }
        std::vector<Reference> operator()(const RemoveServer& change) const { return { this->server(change.id) }; }
        std::vector<Reference> operator()(const DrainServer& change) const { return { this->server(change.id) }; }
        std::vector<Reference> operator()(const ChangeOrganisation& change) const { return { this->organisation(change.id) }; }
        std::vector<Reference> operator()(const RemoveOrganisation& change) const { return { this->organisation(change.id) }; }
        std::vector<Reference> operator()(const WithdrawKey& change) const
        {
            return { { change.id.value, namesOf(this->configuration.keys) } };
        }

        Reference organisation(const OrganisationId& id) const { return { id.value, namesOf(this->configuration.organisations) }; }
        Reference database(const DatabaseId& id) const { return { id.value, namesOf(this->configuration.databases) }; }
        Reference service(const ServiceName& name) const { return { name.value, namesOf(this->configuration.services) }; }
        Reference server(const BackendServerId& id) const { return { id.value, serverNames(this->configuration) }; }

        std::vector<Reference> referencesOf(const Service& service) const
        {
            std::vector<Reference> references { this->database(service.database) };
            for (const OrganisationId& organisation : service.organisations)
                references.push_back(this->organisation(organisation));
            if (service.access == ServiceAccess::Open)
                references.push_back(this->organisation(service.openOrganisation));
            return references;
        }
    };

}

EvaluatedChange evaluateChange(const ChangeCommand& command, const Configuration& configuration, const ChangeContext& context)
{
    EvaluatedChange evaluated;
    ChangeAction action = std::visit(ActionBuilder { configuration, context, evaluated.keyText }, command.requestedAction);
    evaluated.change = { context.changeId, context.author, command.expectedVersion, std::move(action) };
    return evaluated;
}

Error withSuggestion(Error error, const ChangeCommand& command, const Configuration& configuration)
{
    for (const Reference& reference : std::visit(ReferenceCollector { configuration }, command.requestedAction)) {
        if (std::find(reference.existingNames.begin(), reference.existingNames.end(), reference.name) != reference.existingNames.end())
            continue;
        if (const auto nearest = nearestWord(reference.name, reference.existingNames))
            error.detail += " (did you mean \"" + *nearest + "\"?)";
    }
    return error;
}

}
