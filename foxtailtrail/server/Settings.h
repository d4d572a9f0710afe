#pragma once

#include "foxtailtrail/base/Ids.h"
#include "foxtailtrail/base/Result.h"
#include "foxtailtrail/base/Time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtail {

// The address of the peer port of another VM, from which a starting VM fetches the configuration.
struct PeerAddress {
    std::string address;
    uint16_t port = 0;
    bool operator==(const PeerAddress&) const = default;
};

// The service-level objective of one service, with which the burn report compares the measured requests.
struct ObjectiveSettings {
    ServiceName service;
    // The share of requests that must succeed, in percent.
    double availabilityPercent = 0;
    // A request that takes longer counts as failed.
    Duration latency { 0 };
};

// The settings of one VM. Every member except the two lists has a row in the table of settings that defines its default, range and
// description.
struct Settings {
    std::string vmId;
    std::string vmRegion;
    std::string vmDataCentre;
    std::string listenAddress;
    uint16_t callerPort = 0;
    uint16_t peerPort = 0;
    uint16_t operatorPort = 0;
    uint16_t metricsPort = 0;
    std::string storeAddress;
    uint16_t storePort = 0;
    Duration storeTimeout { 0 };
    std::string operatorSecret;
    std::string operatorSecretFile;
    uint32_t trafficThreads = 0;
    uint32_t maxBodyBytes = 0;
    uint32_t maxAnswerBytes = 0;
    Duration defaultRequestTimeout { 0 };
    Duration maxRequestTimeout { 0 };
    std::string logLevel;
    Duration probeInterval { 0 };
    Duration primaryUnansweredTimeout { 0 };
    Duration replicaSilenceTimeout { 0 };
    Duration primaryUnansweredByPeersTimeout { 0 };
    Duration promotionBackoffStep { 0 };
    Duration replicaWaitTimeout { 0 };
    Duration pingInterval { 0 };
    Duration peerHeartbeatTimeout { 0 };
    Duration configurationCheckInterval { 0 };
    Duration freshnessLifetime { 0 };
    Duration loanLifetime { 0 };
    Duration loanWaitTimeout { 0 };
    Duration stopGracePeriod { 0 };
    std::vector<PeerAddress> peers;
    std::vector<ObjectiveSettings> objectives;
};

// Allowed form of a text setting.
enum class TextForm : uint8_t {
    Name,
    IpAddress,
    Secret,
    FilePath,
    LogLevel,
};

// A text setting.
struct TextSetting {
    std::string Settings::*member;
    TextForm form;
    // Empty if the setting has no default.
    std::string_view defaultValue;
};

// A TCP port. With 0 the operating system picks one.
struct PortSetting {
    uint16_t Settings::*member;
    uint16_t minimum;
    uint16_t defaultValue;
};

// A whole number with its range.
struct NumberSetting {
    uint32_t Settings::*member;
    uint32_t minimum;
    uint32_t maximum;
    uint32_t defaultValue;
};

// A duration, given in whole milliseconds, with its range.
struct DurationSetting {
    Duration Settings::*member;
    std::chrono::milliseconds minimum;
    std::chrono::milliseconds maximum;
    std::chrono::milliseconds defaultValue;
};

// One row of the table of settings.
struct SettingRow {
    // The section and the key joined by a dot, or the key alone.
    std::string_view name;
    std::string_view unit;
    bool isRequired;
    std::variant<TextSetting, PortSetting, NumberSetting, DurationSetting> value;
    std::string_view description;
};

// Returns all settings with a single value, in the order of the reference page.
std::span<const SettingRow> settingRows();

// An error in a settings file.
struct SettingsError {
    std::string file;
    // Counted from 1.
    int line = 1;
    std::string message;
    std::string allowed;

    // Returns "FILE:LINE: message (allowed: ...)".
    std::string text() const;
};

// The settings, or all errors found, ordered by line.
using SettingsResult = boost::outcome_v2::basic_result<Settings, std::vector<SettingsError>, boost::outcome_v2::policy::terminate>;

// Reads settings from YAML text. The file name appears in errors, and operator.secretFile is relative to its folder.
SettingsResult parseSettings(std::string_view yaml, const std::string& fileName);

// Reads a settings file.
SettingsResult readSettings(const std::string& fileName);

// Returns the reference page of all settings in Markdown, generated from the table.
std::string settingsReference();

}
