#include "foxtailtrail/server/Settings.h"

#include <array>

namespace foxtail {

namespace {

    using std::chrono::milliseconds;

    constexpr uint32_t kibibyte = 1024;
    constexpr uint32_t mebibyte = 1024 * kibibyte;

    constexpr SettingRow text(std::string_view name, bool isRequired, std::string Settings::*member, TextForm form,
        std::string_view defaultValue, std::string_view description)
    {
        return { name, "", isRequired, TextSetting { member, form, defaultValue }, description };
    }

    constexpr SettingRow port(
        std::string_view name, bool isRequired, uint16_t Settings::*member, uint16_t minimum, std::string_view description)
    {
        return { name, "port", isRequired, PortSetting { member, minimum, 0 }, description };
    }

    constexpr SettingRow number(std::string_view name, std::string_view unit, uint32_t Settings::*member, uint32_t minimum,
        uint32_t maximum, uint32_t defaultValue, std::string_view description)
    {
        return { name, unit, false, NumberSetting { member, minimum, maximum, defaultValue }, description };
    }

    constexpr SettingRow duration(
        std::string_view name, Duration Settings::*member, int minimum, int maximum, int defaultValue, std::string_view description)
    {
        return { name, "ms", false, DurationSetting { member, milliseconds(minimum), milliseconds(maximum), milliseconds(defaultValue) },
            description };
    }

    constexpr bool required = true;

    // The maxima in the sections failover, membership, configuration and limits keep the bounds on which other VMs rely: 3 s of freshness
    // lifetime, 200 ms of loan lifetime and a failover within 16 s.
    constexpr std::array settingTable {
        text("vm.id", required, &Settings::vmId, TextForm::Name, "", "The name of this VM. It is unique in the fleet."),
        text("vm.region", required, &Settings::vmRegion, TextForm::Name, "", "The region of this VM."),
        text("vm.dataCentre", required, &Settings::vmDataCentre, TextForm::Name, "", "The data centre of this VM."),
        text("listen.address", required, &Settings::listenAddress, TextForm::IpAddress, "",
            "The address that all ports listen on. Other VMs reach this VM at it."),
        port("listen.callerPort", !required, &Settings::callerPort, 0, "The port for callers."),
        port("listen.peerPort", !required, &Settings::peerPort, 0, "The port for other VMs."),
        port("listen.operatorPort", !required, &Settings::operatorPort, 0, "The port for operators."),
        port("listen.metricsPort", !required, &Settings::metricsPort, 0, "The port that serves metrics."),
        text("store.address", required, &Settings::storeAddress, TextForm::IpAddress, "", "The address of the platform's store."),
        port("store.port", required, &Settings::storePort, 1, "The port of the platform's store."),
        duration(
            "store.timeoutMs", &Settings::storeTimeout, 50, 2000, 500, "A store request without an answer for this time counts as failed."),
        text("operator.secret", !required, &Settings::operatorSecret, TextForm::Secret, "",
            "The bearer secret of operators. Exactly one of operator.secret and operator.secretFile is given."),
        text("operator.secretFile", !required, &Settings::operatorSecretFile, TextForm::FilePath, "",
            "A file whose first line is the bearer secret of operators. A relative path starts at the folder of the settings file."),
        number("trafficThreads", "threads", &Settings::trafficThreads, 1, 16, 1,
            "The number of threads that carry traffic, beside the one for control."),
        number("request.maxBodyBytes", "bytes", &Settings::maxBodyBytes, kibibyte, 16 * mebibyte, mebibyte,
            "A larger request body is refused."),
        number("request.maxAnswerBytes", "bytes", &Settings::maxAnswerBytes, kibibyte, 64 * mebibyte, 4 * mebibyte,
            "A larger answer becomes an error, so that one request cannot take the VM's memory."),
        duration(
            "request.defaultDeadlineMs", &Settings::defaultRequestTimeout, 1, 60000, 5000, "The deadline of a request that states none."),
        duration("request.maxDeadlineMs", &Settings::maxRequestTimeout, 1, 60000, 60000, "The longest deadline that a request may state."),
        text("log.level", !required, &Settings::logLevel, TextForm::LogLevel, "info", "The lowest level that is logged."),
        duration(
            "failover.probeIntervalMs", &Settings::probeInterval, 10, 1000, 100, "The time between two status probes of a backend server."),
        duration("failover.primaryUnansweredMs", &Settings::primaryUnansweredTimeout, 100, 5000, 600,
            "A promotion is due when the primary answers no probe for this time and the replicas confirm its silence."),
        duration("failover.replicaSilenceMs", &Settings::replicaSilenceTimeout, 50, 5000, 500,
            "A replica confirms the silence of its primary after hearing nothing for this time."),
        duration("failover.primaryUnansweredByPeersMs", &Settings::primaryUnansweredByPeersTimeout, 500, 10000, 2000,
            "A promotion is due after this time although replicas hear the primary, when VMs of other data centres confirm."),
        duration("failover.promotionBackoffMs", &Settings::promotionBackoffStep, 50, 2000, 400,
            "The wait of a losing promoter for each place in the rendezvous order before it tries a higher term."),
        duration("reads.replicaWaitMs", &Settings::replicaWaitTimeout, 1, 1000, 50,
            "A read with a token waits at most this time for a replica before it goes to the primary."),
        duration("membership.pingIntervalMs", &Settings::pingInterval, 50, 1000, 250, "The time between two pings to a peer."),
        duration("membership.peerDeadMs", &Settings::peerHeartbeatTimeout, 200, 10000, 1000,
            "A peer that is silent for this time counts as dead."),
        duration("configuration.checkIntervalMs", &Settings::configurationCheckInterval, 50, 2000, 1000,
            "The time between two checks of the configuration version."),
        duration("configuration.freshnessMs", &Settings::freshnessLifetime, 200, 3000, 3000,
            "Serving stops this long after the send time of the latest check that confirmed the version."),
        duration("limits.loanLifetimeMs", &Settings::loanLifetime, 20, 200, 200, "The lifetime of a lent share of a rate limit."),
        duration("limits.loanWaitMs", &Settings::loanWaitTimeout, 1, 1000, 100, "A request waits at most this time for a share."),
        duration("stop.graceMs", &Settings::stopGracePeriod, 1000, 120000, 65000,
            "A stopping VM waits at most this time for its requests. The default exceeds the longest deadline."),
    };

}

std::span<const SettingRow> settingRows() { return settingTable; }

}
