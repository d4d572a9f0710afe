#include "foxtailtrail/proxy/ProxySettings.h"

#include "foxtailtrail/membership/FeedSchedule.h"
#include "foxtailtrail/server/Log.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sys/resource.h>
#include <yaml-cpp/yaml.h>

namespace foxtail {

namespace {

    // Reads the members of a settings document and collects the errors.
    class SettingsReader {
    public:
        SettingsReader(std::string file, const YAML::Node& root)
            : file(std::move(file))
            , root(root)
        {
        }

        template <typename T> T read(std::string_view section, std::string_view name, const char* allowed, bool required = true)
        {
            const YAML::Node node = this->find(section, name);
            if (!node || node.IsNull()) {
                if (required)
                    this->addError(section, name, "is missing; it must be " + std::string(allowed));
                return T {};
            }
            try {
                return node.as<T>();
            } catch (const YAML::Exception&) {
                this->addError(section, name, "must be " + std::string(allowed));
                return T {};
            }
        }

        Endpoint endpoint(std::string_view section, std::string_view name, bool required = true)
        {
            const auto text = this->read<std::string>(section, name, "ADDRESS:PORT", required);
            if (text.empty())
                return {};
            return this->parseEndpoint(section, name, text);
        }

        Endpoint parseEndpoint(std::string_view section, std::string_view name, const std::string& text)
        {
            const size_t colon = text.rfind(':');
            char* end = nullptr;
            const unsigned long port = colon == std::string::npos ? 0 : std::strtoul(text.c_str() + colon + 1, &end, 10);
            if (colon == std::string::npos || colon == 0 || port == 0 || port > UINT16_MAX || *end != '\0') {
                this->addError(section, name, "must be ADDRESS:PORT");
                return {};
            }
            return { text.substr(0, colon), static_cast<uint16_t>(port) };
        }

        YAML::Node find(std::string_view section, std::string_view name) const
        {
            const YAML::Node parent = this->root[std::string(section)];
            return parent && parent.IsMap() ? parent[std::string(name)] : YAML::Node(YAML::NodeType::Undefined);
        }

        void addError(std::string_view section, std::string_view name, const std::string& problem)
        {
            this->errors.push_back(this->file + ": " + std::string(section) + "." + std::string(name) + " " + problem);
        }

        std::vector<std::string> errors;

    private:
        std::string file;
        YAML::Node root;
    };

    // Used for the settling period when the platform gives no bound.
    constexpr Duration defaultEvacuationBound = std::chrono::milliseconds(5000);
    // The part of the bound in which primaries hand over and open transactions end. A hand-over takes about 1200 ms.
    constexpr int settlingPeriodsPerBound = 4;
    // The time that is left for a statement that was sent just before.
    constexpr Duration evacuationMargin = std::chrono::milliseconds(250);

    // The least bound with which the feed has FeedSchedule::minBound beside the settling period and the margin.
    constexpr int leastEvacuationBoundMs = 2334;

    Duration milliseconds(double value) { return Duration(static_cast<Duration::rep>(value * 1000)); }

    // Replaces the default bound when the document has the member.
    void readChangeBound(SettingsReader& reader, std::string_view name, Duration& bound)
    {
        const YAML::Node node = reader.find("bounds", name);
        if (!node || node.IsNull())
            return;
        bound = milliseconds(reader.read<double>("bounds", name, "a number of milliseconds"));
        if (!FeedSchedule::create(bound, 0))
            reader.addError("bounds", name, "must be at least " + std::to_string(toMilliseconds(FeedSchedule::minBound)));
    }

    // Reads the bound if the document has it. The feed needs its least time beside the settling period.
    void readEvacuationBound(SettingsReader& reader, ChangeBounds& bounds)
    {
        constexpr std::string_view name = "evacuationMilliseconds";
        const YAML::Node node = reader.find("bounds", name);
        if (!node || node.IsNull())
            return;
        bounds.evacuation = milliseconds(reader.read<double>("bounds", name, "a number of milliseconds"));
        if (!FeedSchedule::create(bounds.declarations(), 0))
            reader.addError("bounds", name, "must be at least " + std::to_string(leastEvacuationBoundMs));
    }

    // Returns the memory of the machine as the system reports it.
    size_t machineMegabytes()
    {
        std::ifstream memory("/proc/meminfo");
        std::string name;
        size_t kilobytes = 0;
        memory >> name >> kilobytes;
        return kilobytes / 1024;
    }

    size_t descriptorLimit()
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        return limit.rlim_cur;
    }

    MemoryBudget readMemoryBudget(SettingsReader& reader)
    {
        auto megabytes = reader.read<size_t>("memory", "limitMegabytes", "a number of megabytes", false);
        auto descriptors = reader.read<size_t>("memory", "descriptors", "a number of descriptors", false);
        if (megabytes == 0)
            megabytes = machineMegabytes();
        descriptors = descriptors == 0 ? descriptorLimit() : std::min(descriptors, descriptorLimit());
        Result<MemoryBudget> budget = MemoryBudget::create(megabytes << 20, descriptors);
        if (budget)
            return budget.value();
        reader.addError("memory", "limitMegabytes", budget.error().detail);
        return {};
    }

    ProxySettings readSettings(SettingsReader& reader)
    {
        ProxySettings settings;
        settings.vmId = VmId(reader.read<std::string>("vm", "id", "a name"));
        settings.dataCentre = DataCentre(reader.read<std::string>("vm", "dataCentre", "a name"));
        settings.region = Region(reader.read<std::string>("vm", "region", "a name"));
        settings.regions = reader.read<std::map<std::string, std::string>>("vm", "regions", "a map from data centre to region", false);
        settings.processorShare = reader.read<double>("vm", "processorShare", "a number above 0", false);
        if (settings.processorShare == 0)
            settings.processorShare = 1;
        settings.logLevel = reader.read<std::string>("vm", "logLevel", "debug, info, warning or error", false);
        if (settings.logLevel.empty())
            settings.logLevel = "info";
        settings.callerEndpoint = reader.endpoint("listen", "callers");
        settings.readinessEndpoint = reader.endpoint("listen", "ready");
        settings.peerEndpoint = reader.endpoint("listen", "peers");
        settings.datagramPort = reader.read<uint16_t>("listen", "datagramPort", "a port");
        settings.relayPort = reader.read<uint16_t>("listen", "relayPort", "a port");
        settings.metricsPort = reader.read<uint16_t>("listen", "metricsPort", "a port", false);
        settings.storeEndpoint = reader.endpoint("platform", "store");
        settings.promotionEndpoint = reader.endpoint("platform", "promotions", false);
        for (const std::string& seed : reader.read<std::vector<std::string>>("platform", "seeds", "a list of ADDRESS:PORT", false))
            settings.seeds.push_back(reader.parseEndpoint("platform", "seeds", seed));
        settings.stopGracePeriod = milliseconds(1000 * reader.read<double>("bounds", "stopGraceSeconds", "a number of seconds"));
        settings.quota.window = milliseconds(1000 * reader.read<double>("bounds", "quotaWindowSeconds", "a number of seconds"));
        settings.quota.excessShare = reader.read<double>("bounds", "quotaExcess", "a share");
        settings.quota.slack = reader.read<double>("bounds", "quotaSlack", "a number of operations");
        readChangeBound(reader, "configurationMilliseconds", settings.changeBounds.configuration);
        readChangeBound(reader, "keyWithdrawalMilliseconds", settings.changeBounds.keyWithdrawal);
        readChangeBound(reader, "serverDrainMilliseconds", settings.changeBounds.serverDrain);
        readEvacuationBound(reader, settings.changeBounds);
        settings.usesEvenLoad = reader.read<bool>("routing", "evenLoad", "true or false", false);
        settings.memory = readMemoryBudget(reader);
        if (const YAML::Node excess = reader.find("bounds", "coldExcess"); excess && !excess.IsNull())
            settings.coldServers.excess = reader.read<double>("bounds", "coldExcess", "a number, at least 1");
        settings.coldServers.slack = reader.read<double>("bounds", "coldSlack", "a number of statements", false);
        return settings;
    }

}

Duration ChangeBounds::evacuationSettlingPeriod() const
{
    return this->evacuation.value_or(defaultEvacuationBound) / settlingPeriodsPerBound;
}

Duration ChangeBounds::declarations() const
{
    const Duration shortest = std::min(this->configuration, this->keyWithdrawal);
    if (!this->evacuation)
        return shortest;
    return std::min(shortest, *this->evacuation - this->evacuationSettlingPeriod() - evacuationMargin);
}

bool isProxySettingsFile(const std::string& file)
{
    try {
        const YAML::Node root = YAML::LoadFile(file);
        return root.IsMap() && root["platform"];
    } catch (const YAML::Exception&) {
        // readProxySettings() reports what is wrong with the file.
        return false;
    }
}

boost::outcome_v2::basic_result<ProxySettings, std::vector<std::string>, boost::outcome_v2::policy::terminate> readProxySettings(
    const std::string& file)
{
    YAML::Node root;
    try {
        root = YAML::LoadFile(file);
    } catch (const YAML::Exception& error) {
        return boost::outcome_v2::failure(std::vector<std::string> { file + ": " + error.what() });
    }
    if (!root.IsMap())
        return boost::outcome_v2::failure(std::vector<std::string> { file + ": the document must be a map of sections" });
    SettingsReader reader(file, root);
    ProxySettings settings = readSettings(reader);
    if (!logLevelByName(settings.logLevel))
        reader.addError("vm", "logLevel", "must be debug, info, warning or error");
    if (!(settings.processorShare > 0))
        reader.addError("vm", "processorShare", "must be above 0");
    if (settings.stopGracePeriod <= Duration(0))
        reader.addError("bounds", "stopGraceSeconds", "must be above 0");
    if (!(settings.coldServers.excess >= 1))
        reader.addError("bounds", "coldExcess", "must be at least 1");
    if (!(settings.coldServers.slack >= 0))
        reader.addError("bounds", "coldSlack", "must be at least 0");
    if (settings.quota.window <= Duration(0))
        reader.addError("bounds", "quotaWindowSeconds", "must be above 0");
    if (!reader.errors.empty())
        return boost::outcome_v2::failure(std::move(reader.errors));
    return settings;
}

}
