#include "foxtailtrail/server/Settings.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <yaml-cpp/yaml.h>

namespace foxtail {

namespace {

    constexpr size_t maxNameLength = 64;
    constexpr size_t minSecretLength = 16;
    constexpr size_t maxSecretLength = 256;
    constexpr size_t maxPathLength = 4096;
    constexpr double minAvailabilityPercent = 50;
    constexpr double maxAvailabilityPercent = 99.999;
    constexpr uint64_t maxObjectiveLatencyMs = 60000;
    constexpr std::array<std::string_view, 5> logLevels { "trace", "debug", "info", "warning", "error" };

    // A pair of durations of which the first must not exceed the second.
    struct OrderRule {
        std::string_view lesser;
        std::string_view greater;
        std::string_view reason;
    };

    constexpr std::array orderRules {
        OrderRule { "request.defaultDeadlineMs", "request.maxDeadlineMs", "a request must not get more than the longest deadline" },
        OrderRule { "failover.probeIntervalMs", "failover.replicaSilenceMs", "one late probe must not look like silence" },
        OrderRule { "failover.replicaSilenceMs", "failover.primaryUnansweredMs", "replicas must be able to confirm in time" },
        OrderRule { "failover.primaryUnansweredMs", "failover.primaryUnansweredByPeersMs", "the replicas' word comes first" },
        OrderRule { "membership.pingIntervalMs", "membership.peerDeadMs", "one late ping must not look like death" },
        OrderRule { "configuration.checkIntervalMs", "configuration.freshnessMs", "serving must not stop between two checks" },
        OrderRule { "store.timeoutMs", "configuration.freshnessMs", "a slow check must not outlast the freshness" },
    };

    std::string range(uint64_t minimum, uint64_t maximum, std::string_view unit)
    {
        std::string result = "whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
        if (!unit.empty())
            result += " " + std::string(unit);
        return result;
    }

    std::string allowedText(TextForm form)
    {
        switch (form) {
        case TextForm::Name:
            return "1 to " + std::to_string(maxNameLength) + " letters, digits, '.', '_' or '-'";
        case TextForm::IpAddress:
            return "an IPv4 or IPv6 address";
        case TextForm::Secret:
            return std::to_string(minSecretLength) + " to " + std::to_string(maxSecretLength) + " printable characters without spaces";
        case TextForm::FilePath:
            return "the path of a readable file";
        case TextForm::LogLevel:
            break;
        }
        std::string result = "one of";
        for (const auto& level : logLevels)
            result += " " + std::string(level);
        return result;
    }

    bool isName(std::string_view text)
    {
        const auto isNameCharacter = [](unsigned char c) { return c < 0x80 && (std::isalnum(c) || c == '.' || c == '_' || c == '-'); };
        return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    bool isIpAddress(const std::string& text)
    {
        boost::system::error_code code;
        boost::asio::ip::make_address(text, code);
        return !code;
    }

    bool isSecret(std::string_view text)
    {
        const auto isPrintable = [](unsigned char c) { return c > ' ' && c < 0x7f; };
        return text.size() >= minSecretLength && text.size() <= maxSecretLength && std::all_of(text.begin(), text.end(), isPrintable);
    }

    bool hasForm(TextForm form, const std::string& text)
    {
        switch (form) {
        case TextForm::Name:
            return isName(text);
        case TextForm::IpAddress:
            return isIpAddress(text);
        case TextForm::Secret:
            return isSecret(text);
        case TextForm::FilePath:
            return !text.empty() && text.size() <= maxPathLength;
        case TextForm::LogLevel:
            return std::find(logLevels.begin(), logLevels.end(), text) != logLevels.end();
        }
        return false;
    }

    // Describes the allowed values of a row for errors and the reference page.
    struct AllowedOf {
        const SettingRow& row;

        std::string operator()(const TextSetting& setting) const { return allowedText(setting.form); }
        std::string operator()(const PortSetting& setting) const
        {
            const std::string result = range(setting.minimum, UINT16_MAX, "");
            return setting.minimum ? result : result + ", where 0 lets the system pick";
        }
        std::string operator()(const NumberSetting& setting) const { return range(setting.minimum, setting.maximum, this->row.unit); }
        std::string operator()(const DurationSetting& setting) const
        {
            return range(static_cast<uint64_t>(setting.minimum.count()), static_cast<uint64_t>(setting.maximum.count()), "ms");
        }
    };

    std::string allowedOf(const SettingRow& row) { return std::visit(AllowedOf { row }, row.value); }

    // Returns the default of a row as text; empty if there is none.
    struct DefaultOf {
        std::string operator()(const TextSetting& setting) const { return std::string(setting.defaultValue); }
        std::string operator()(const PortSetting& setting) const { return std::to_string(setting.defaultValue); }
        std::string operator()(const NumberSetting& setting) const { return std::to_string(setting.defaultValue); }
        std::string operator()(const DurationSetting& setting) const { return std::to_string(setting.defaultValue.count()); }
    };

    // Sets a row's default in the settings.
    struct ApplyDefault {
        Settings& settings;

        void operator()(const TextSetting& setting) const { this->settings.*setting.member = std::string(setting.defaultValue); }
        void operator()(const PortSetting& setting) const { this->settings.*setting.member = setting.defaultValue; }
        void operator()(const NumberSetting& setting) const { this->settings.*setting.member = setting.defaultValue; }
        void operator()(const DurationSetting& setting) const { this->settings.*setting.member = setting.defaultValue; }
    };

    // Returns the whole number in a plain scalar. Quoted numbers are texts.
    std::optional<uint64_t> wholeNumber(const YAML::Node& node)
    {
        if (!node.IsScalar() || node.Tag() == "!")
            return std::nullopt;
        const std::string& text = node.Scalar();
        uint64_t value = 0;
        const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (code != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::optional<uint64_t> numberIn(const YAML::Node& node, uint64_t minimum, uint64_t maximum)
    {
        const auto value = wholeNumber(node);
        return value && *value >= minimum && *value <= maximum ? value : std::nullopt;
    }

    // Sets a scalar in the settings. Returns false if the value is not allowed.
    struct ApplyScalar {
        Settings& settings;
        const YAML::Node& node;

        bool operator()(const TextSetting& setting) const
        {
            if (!this->node.IsScalar() || !hasForm(setting.form, this->node.Scalar()))
                return false;
            this->settings.*setting.member = this->node.Scalar();
            return true;
        }
        bool operator()(const PortSetting& setting) const
        {
            const auto value = numberIn(this->node, setting.minimum, UINT16_MAX);
            if (value)
                this->settings.*setting.member = static_cast<uint16_t>(*value);
            return value.has_value();
        }
        bool operator()(const NumberSetting& setting) const
        {
            const auto value = numberIn(this->node, setting.minimum, setting.maximum);
            if (value)
                this->settings.*setting.member = static_cast<uint32_t>(*value);
            return value.has_value();
        }
        bool operator()(const DurationSetting& setting) const
        {
            const auto value
                = numberIn(this->node, static_cast<uint64_t>(setting.minimum.count()), static_cast<uint64_t>(setting.maximum.count()));
            if (value)
                this->settings.*setting.member = std::chrono::milliseconds(*value);
            return value.has_value();
        }
    };

    const SettingRow* rowByName(std::string_view name)
    {
        const auto rows = settingRows();
        const auto found = std::find_if(rows.begin(), rows.end(), [&](const SettingRow& row) { return row.name == name; });
        return found == rows.end() ? nullptr : &*found;
    }

    // Returns the keys that a section may contain; the empty section is the document itself.
    std::set<std::string> keysOfSection(std::string_view section)
    {
        std::set<std::string> result;
        if (section.empty())
            result = { "peers", "objectives" };
        for (const SettingRow& row : settingRows()) {
            const size_t dot = row.name.find('.');
            if (section.empty()) {
                result.emplace(row.name.substr(0, dot));
            } else if (dot != std::string_view::npos && row.name.substr(0, dot) == section) {
                result.emplace(row.name.substr(dot + 1));
            }
        }
        return result;
    }

    std::string joined(const std::set<std::string>& names)
    {
        std::string result;
        for (const auto& name : names) {
            if (!result.empty())
                result += ", ";
            result += name;
        }
        return result;
    }

    std::string quoted(const std::string& key, const std::string& place)
    {
        std::string result = "\"";
        result.append(key).append("\" in ").append(place);
        return result;
    }

    std::optional<PeerAddress> peerAddress(const std::string& text)
    {
        const size_t colon = text.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        std::string address = text.substr(0, colon);
        if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
            address = address.substr(1, address.size() - 2);
        } else if (address.find(':') != std::string::npos) {
            return std::nullopt;
        }
        const auto port = numberIn(YAML::Node(text.substr(colon + 1)), 1, UINT16_MAX);
        if (!isIpAddress(address) || !port)
            return std::nullopt;
        return PeerAddress { address, static_cast<uint16_t>(*port) };
    }

    // Reader for one document that collects all errors.
    class SettingsReader {
    public:
        explicit SettingsReader(const std::string& fileName)
            : fileName(fileName)
        {
        }

        SettingsResult read(std::string_view yaml)
        {
            for (const SettingRow& row : settingRows())
                std::visit(ApplyDefault { this->settings }, row.value);
            try {
                const std::vector<YAML::Node> documents = YAML::LoadAll(std::string(yaml));
                if (documents.size() == 1 && documents.front().IsMap()) {
                    this->readDocument(documents.front());
                } else {
                    this->addError(1, "the file must hold one YAML document with sections", "a map of " + joined(keysOfSection("")));
                }
            } catch (const YAML::Exception& exception) {
                this->addError(exception.mark.line + 1, "not valid YAML: " + exception.msg, "YAML 1.2");
            }
            std::stable_sort(this->errors.begin(), this->errors.end(),
                [](const SettingsError& left, const SettingsError& right) { return left.line < right.line; });
            if (!this->errors.empty())
                return boost::outcome_v2::failure(std::move(this->errors));
            return boost::outcome_v2::success(std::move(this->settings));
        }

    private:
        void addError(int line, std::string message, std::string allowed)
        {
            this->errors.push_back({ this->fileName, std::max(line, 1), std::move(message), std::move(allowed) });
        }

        // Checks that the node is a map with known keys only, each at most once. Calls visit(key, line, value) for each.
        template <typename Visit>
        void readMap(const YAML::Node& node, const std::string& what, const std::set<std::string>& known, const Visit& visit)
        {
            if (!node.IsMap()) {
                this->addError(node.Mark().line + 1, what + " must be a map", "a map of " + joined(known));
                return;
            }
            std::set<std::string> seen;
            for (const auto& entry : node) {
                const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
                const int line = entry.first.Mark().line + 1;
                if (!known.contains(key)) {
                    this->addError(line, "unknown key " + quoted(key, what), joined(known));
                } else if (!seen.insert(key).second) {
                    this->addError(line, "repeated key " + quoted(key, what), "each key once");
                } else {
                    visit(key, line, entry.second);
                }
            }
        }

        void readDocument(const YAML::Node& document)
        {
            this->readMap(document, "the document", keysOfSection(""), [this](const std::string& key, int line, const YAML::Node& node) {
                this->lineByKey[key] = line;
                if (key == "peers") {
                    this->readPeers(node);
                } else if (key == "objectives") {
                    this->readObjectives(node);
                } else if (const SettingRow* row = rowByName(key)) {
                    this->readScalar(*row, line, node);
                } else {
                    this->readSection(key, node);
                }
            });
            this->checkRequired();
            this->checkOrder();
            this->checkSecret();
        }

        void readSection(const std::string& section, const YAML::Node& node)
        {
            this->readMap(
                node, "section " + section, keysOfSection(section), [&](const std::string& key, int line, const YAML::Node& value) {
                    const std::string name = section + "." + key;
                    this->lineByKey[name] = line;
                    this->readScalar(*rowByName(name), line, value);
                });
        }

        void readScalar(const SettingRow& row, int line, const YAML::Node& node)
        {
            if (std::visit(ApplyScalar { this->settings, node }, row.value))
                return;
            const auto* text = std::get_if<TextSetting>(&row.value);
            // Messages must never contain the text of a secret.
            const bool isSecretSetting = text && text->form == TextForm::Secret;
            std::string shownValue = node.IsScalar() ? "\"" + node.Scalar() + "\" " : "";
            if (isSecretSetting)
                shownValue.clear();
            this->addError(line, std::string(row.name) + ": the value " + shownValue + "is not allowed", allowedOf(row));
            this->invalidRows.emplace(row.name);
        }

        void readPeers(const YAML::Node& node)
        {
            constexpr const char* allowed = "a list of ADDRESS:PORT with an IP address, [ADDRESS]:PORT for IPv6";
            if (!node.IsSequence()) {
                this->addError(node.Mark().line + 1, "peers must be a list", allowed);
                return;
            }
            auto& peers = this->settings.peers;
            for (const YAML::Node& entry : node) {
                const auto peer = entry.IsScalar() ? peerAddress(entry.Scalar()) : std::nullopt;
                if (!peer) {
                    this->addError(entry.Mark().line + 1, "peers: the value is not an address with a port", allowed);
                } else if (std::find(peers.begin(), peers.end(), *peer) != peers.end()) {
                    this->addError(entry.Mark().line + 1, "peers: " + entry.Scalar() + " is given twice", "each peer once");
                } else {
                    peers.push_back(*peer);
                }
            }
        }

        void readObjectives(const YAML::Node& node)
        {
            if (!node.IsSequence()) {
                this->addError(node.Mark().line + 1, "objectives must be a list", "a list of {service, availabilityPercent, latencyMs}");
                return;
            }
            std::set<std::string> seen;
            for (const YAML::Node& entry : node) {
                const ObjectiveSettings objective = this->readObjective(entry);
                if (!objective.service.empty() && !seen.insert(objective.service.value).second) {
                    this->addError(
                        entry.Mark().line + 1, "objectives: service " + objective.service.value + " is given twice", "each service once");
                }
                this->settings.objectives.push_back(objective);
            }
        }

        ObjectiveSettings readObjective(const YAML::Node& node)
        {
            const std::set<std::string> keys { "service", "availabilityPercent", "latencyMs" };
            ObjectiveSettings objective;
            std::set<std::string> missing = keys;
            this->readMap(node, "an objective", keys, [&](const std::string& key, int line, const YAML::Node& value) {
                missing.erase(key);
                if (key == "service") {
                    this->readObjectiveService(objective, line, value);
                } else if (key == "latencyMs") {
                    this->readObjectiveLatency(objective, line, value);
                } else {
                    this->readObjectiveAvailability(objective, line, value);
                }
            });
            if (node.IsMap() && !missing.empty())
                this->addError(node.Mark().line + 1, "an objective lacks " + joined(missing), "all of " + joined(keys));
            return objective;
        }

        void readObjectiveService(ObjectiveSettings& objective, int line, const YAML::Node& node)
        {
            if (node.IsScalar() && isName(node.Scalar())) {
                objective.service = ServiceName(node.Scalar());
            } else {
                this->addError(line, "objectives: the service name is not allowed", allowedText(TextForm::Name));
            }
        }

        void readObjectiveLatency(ObjectiveSettings& objective, int line, const YAML::Node& node)
        {
            const auto value = numberIn(node, 1, maxObjectiveLatencyMs);
            if (value) {
                objective.latency = std::chrono::milliseconds(*value);
            } else {
                this->addError(line, "objectives: latencyMs is not allowed", range(1, maxObjectiveLatencyMs, "ms"));
            }
        }

        void readObjectiveAvailability(ObjectiveSettings& objective, int line, const YAML::Node& node)
        {
            double value = 0;
            const std::string text = node.IsScalar() ? node.Scalar() : "";
            const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
            const bool isWholeText = code == std::errc() && end == text.data() + text.size();
            if (isWholeText && value >= minAvailabilityPercent && value <= maxAvailabilityPercent) {
                objective.availabilityPercent = value;
            } else {
                this->addError(line, "objectives: availabilityPercent is not allowed", "number from 50 to 99.999");
            }
        }

        int lineOf(std::string_view name) const
        {
            const auto own = this->lineByKey.find(std::string(name));
            if (own != this->lineByKey.end())
                return own->second;
            const auto section = this->lineByKey.find(std::string(name.substr(0, name.find('.'))));
            return section == this->lineByKey.end() ? 1 : section->second;
        }

        void checkRequired()
        {
            for (const SettingRow& row : settingRows()) {
                if (row.isRequired && !this->lineByKey.contains(std::string(row.name)))
                    this->addError(this->lineOf(row.name), std::string(row.name) + " is missing", allowedOf(row));
            }
        }

        void checkOrder()
        {
            for (const OrderRule& rule : orderRules) {
                const auto valueOf
                    = [this](std::string_view name) { return this->settings.*std::get<DurationSetting>(rowByName(name)->value).member; };
                const bool hasInvalidValue = this->invalidRows.contains(rule.lesser) || this->invalidRows.contains(rule.greater);
                if (hasInvalidValue || valueOf(rule.lesser) <= valueOf(rule.greater))
                    continue;
                // The defaults satisfy all rules, so the error refers to the line of a given value.
                const bool isLesserGiven = this->lineByKey.contains(std::string(rule.lesser));
                this->addError(this->lineOf(isLesserGiven ? rule.lesser : rule.greater),
                    std::string(rule.lesser) + " exceeds " + std::string(rule.greater) + ": " + std::string(rule.reason),
                    std::string(rule.lesser) + " of at most " + std::to_string(toMilliseconds(valueOf(rule.greater))) + " ms");
            }
        }

        void checkSecret()
        {
            const bool hasSecret = this->lineByKey.contains("operator.secret");
            const bool hasSecretFile = this->lineByKey.contains("operator.secretFile");
            if (hasSecret == hasSecretFile) {
                this->addError(this->lineOf("operator.secret"), "operator.secret and operator.secretFile: exactly one must be given",
                    "one of operator.secret, operator.secretFile");
            } else if (hasSecretFile && !this->invalidRows.contains("operator.secretFile")) {
                this->readSecretFile();
            }
        }

        void readSecretFile()
        {
            const auto path = std::filesystem::path(this->fileName).parent_path() / this->settings.operatorSecretFile;
            std::ifstream stream(path);
            std::getline(stream, this->settings.operatorSecret);
            if (!isSecret(this->settings.operatorSecret)) {
                this->addError(this->lineOf("operator.secretFile"),
                    "operator.secretFile: the first line of " + path.string() + " cannot be read or is not a secret",
                    allowedText(TextForm::Secret));
            }
        }

        std::string fileName;
        Settings settings;
        std::vector<SettingsError> errors;
        // The line of each given key.
        std::map<std::string, int> lineByKey;
        // The rows whose given value was rejected.
        std::set<std::string_view> invalidRows;
    };

    constexpr std::string_view listsReference = R"(
## Lists

`peers` is a list of `ADDRESS:PORT` of the peer ports of other VMs, from which a starting VM learns the configuration.
Default: empty.

`objectives` is a list of service-level objectives for the burn report, each with `service` (a name),
`availabilityPercent` (number from 50 to 99.999) and `latencyMs` (whole number from 1 to 60000 ms). Default: empty.

## Sample

`samples/vm.yaml` holds the settings of one entry VM of a fleet of three on one machine, with its ports, the store's
port and the peer ports of the two others. `foxtailtrail check samples/vm.yaml` checks it.

## Updating this page

The test `SettingsTest.TheSampleAndTheReferencePageAreCurrent` fails when this page differs from the table. Write it anew
with `FOXTAIL_UPDATE_PAGES=1 ctest --test-dir build -R TheSampleAndTheReferencePageAreCurrent`.
)";

}

std::string SettingsError::text() const
{
    return this->file + ":" + std::to_string(this->line) + ": " + this->message + " (allowed: " + this->allowed + ")";
}

SettingsResult parseSettings(std::string_view yaml, const std::string& fileName) { return SettingsReader(fileName).read(yaml); }

SettingsResult readSettings(const std::string& fileName)
{
    std::ifstream stream(fileName);
    const std::string text { std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>() };
    if (!stream.is_open() || stream.bad()) {
        return boost::outcome_v2::failure(
            std::vector<SettingsError> { { fileName, 1, "the file cannot be read", "the path of a readable file" } });
    }
    return parseSettings(text, fileName);
}

std::string settingsReference()
{
    std::ostringstream page;
    page << "# Settings\n\nGenerated from the table of settings in `foxtailtrail/server/SettingsTable.cpp`.\n\n"
         << "| Setting | Allowed | Default | Meaning |\n| --- | --- | --- | --- |\n";
    for (const SettingRow& row : settingRows()) {
        const std::string defaultValue = std::visit(DefaultOf(), row.value);
        page << "| `" << row.name << "` | " << allowedOf(row) << " | ";
        if (row.isRequired) {
            page << "required";
        } else {
            page << (defaultValue.empty() ? "none" : "`" + defaultValue + "`");
        }
        page << " | " << row.description << " |\n";
    }
    page << "\nThe following orders are checked as well:\n\n";
    for (const OrderRule& rule : orderRules)
        page << "- `" << rule.lesser << "` is at most `" << rule.greater << "`: " << rule.reason << ".\n";
    page << listsReference;
    return page.str();
}

}
