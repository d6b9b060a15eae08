#include "wagtailbend/settings/settings.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <functional>
#include <sstream>

#include <asio/ip/address_v4.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

#include "wagtailbend/settings/internal/settings_table.h"

namespace wagtailbend::settings {
namespace {

using internal::IntegerSetting;
using internal::kIntegerSettings;
using internal::kStringListSettings;
using internal::kStringSettings;
using internal::StringListSetting;
using internal::StringSetting;
using internal::ValueFormat;
using Json = nlohmann::json;
using Problems = std::vector<std::string>;

constexpr std::array<std::string_view, 4> kLogLevels = { "debug",
                                                         "info",
                                                         "warn",
                                                         "error" };

bool
IsValidName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= 64 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
           return std::isalnum(aCharacter) || aCharacter == '-' ||
                  aCharacter == '_';
         });
}

bool
IsLoopbackAddress(std::string_view aText)
{
  std::string host;
  uint16_t port = 0;
  return ParseAddress(aText, host, port) &&
         asio::ip::make_address_v4(host).is_loopback();
}

// Returns the reason why aText does not have the format aFormat, or an empty
// string if it does.
std::string
CheckFormat(ValueFormat aFormat, std::string_view aText)
{
  std::string host;
  uint16_t port = 0;
  switch (aFormat) {
    case ValueFormat::kName:
      return IsValidName(aText) ? "" : "must be 1 to 64 of a-z A-Z 0-9 - _";
    case ValueFormat::kAddress:
      return ParseAddress(aText, host, port)
               ? ""
               : "must be an IPv4 address and port, such as 127.0.0.1:7001";
    case ValueFormat::kLoopbackAddress:
      return IsLoopbackAddress(aText)
               ? ""
               : "must be a loopback IPv4 address and port";
    case ValueFormat::kUrl:
      return aText.empty() || aText.starts_with("http://")
               ? ""
               : "must start with http://";
    case ValueFormat::kPath:
      return "";
    case ValueFormat::kLogLevel:
      return std::find(kLogLevels.begin(), kLogLevels.end(), aText) !=
                 kLogLevels.end()
               ? ""
               : "must be debug, info, warn or error";
  }
  return "";
}

// Returns aName without its unit suffix. Used to report a known setting with a
// wrong unit as such instead of as an unknown setting.
std::string_view
NameWithoutUnit(std::string_view aName)
{
  const size_t dot = aName.rfind('.');
  const size_t underscore = aName.rfind('_');
  if (underscore == std::string_view::npos ||
      (dot != std::string_view::npos && underscore < dot)) {
    return aName;
  }
  return aName.substr(0, underscore);
}

// Parses one settings file and collects all problems in it.
class Parser
{
public:
  explicit Parser(std::string_view aSource)
    : m_source(aSource)
  {
  }

  Result<Settings> Parse(std::string_view aText)
  {
    const Json json = Json::parse(aText, nullptr, false, true);
    if (json.is_discarded()) {
      AddProblem("file", "is not valid JSON (comments are allowed)");
      return MakeError();
    }
    if (!json.is_object()) {
      AddProblem("file", "must contain one JSON object");
      return MakeError();
    }
    CollectValues("", json);
    for (const StringSetting& setting : kStringSettings) {
      ReadString(setting);
    }
    for (const IntegerSetting& setting : kIntegerSettings) {
      ReadInteger(setting);
    }
    for (const StringListSetting& setting : kStringListSettings) {
      ReadStringList(setting);
    }
    for (const auto& [name, value] : m_values) {
      ReportUnknownSetting(name);
    }
    if (!m_problems.empty()) {
      return MakeError();
    }
    return m_settings;
  }

private:
  void AddProblem(std::string_view aSetting, std::string_view aReason)
  {
    m_problems.push_back(
      fmt::format("{}: {}: {}", m_source, aSetting, aReason));
  }

  Error MakeError() const
  {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("{}", fmt::join(m_problems, "\n")) };
  }

  void CollectValues(const std::string& aPrefix, const Json& aObject)
  {
    for (const auto& [key, value] : aObject.items()) {
      const std::string name =
        aPrefix.empty() ? key : fmt::format("{}.{}", aPrefix, key);
      if (value.is_object()) {
        CollectValues(name, value);
        continue;
      }
      m_values.emplace(name, value);
    }
  }

  // Removes and returns the value. Values that remain after all settings have
  // been read belong to unknown settings.
  std::optional<Json> ExtractValue(const std::string& aName)
  {
    const auto it = m_values.find(aName);
    if (it == m_values.end()) {
      return std::nullopt;
    }
    Json value = std::move(it->second);
    m_values.erase(it);
    return value;
  }

  void ReadString(const StringSetting& aSetting)
  {
    const std::optional<Json> value = ExtractValue(aSetting.name);
    if (!value) {
      if (!aSetting.defaultValue) {
        AddProblem(aSetting.name, "is required");
        return;
      }
      m_settings.*aSetting.member = aSetting.defaultValue;
      return;
    }
    if (!value->is_string()) {
      AddProblem(aSetting.name, "must be a string");
      return;
    }
    const auto text = value->get<std::string>();
    const std::string reason = CheckFormat(aSetting.format, text);
    if (!reason.empty()) {
      AddProblem(aSetting.name, reason);
      return;
    }
    m_settings.*aSetting.member = text;
  }

  void ReadInteger(const IntegerSetting& aSetting)
  {
    const std::optional<Json> value = ExtractValue(aSetting.name);
    if (!value) {
      m_settings.*aSetting.member = aSetting.defaultValue;
      return;
    }
    if (!value->is_number_unsigned() ||
        value->get<uint64_t>() < aSetting.minimum ||
        value->get<uint64_t>() > aSetting.maximum) {
      AddProblem(aSetting.name,
                 fmt::format("must be an integer from {} to {} ({})",
                             aSetting.minimum,
                             aSetting.maximum,
                             aSetting.unit));
      return;
    }
    m_settings.*aSetting.member = value->get<uint32_t>();
  }

  void ReadStringList(const StringListSetting& aSetting)
  {
    const std::optional<Json> value = ExtractValue(aSetting.name);
    if (!value) {
      return;
    }
    if (!value->is_array()) {
      AddProblem(aSetting.name, "must be a list of strings");
      return;
    }
    for (size_t i = 0; i < value->size(); ++i) {
      const Json& item = (*value)[i];
      const std::string name = fmt::format("{}[{}]", aSetting.name, i);
      if (!item.is_string()) {
        AddProblem(name, "must be a string");
        continue;
      }
      const auto text = item.get<std::string>();
      const std::string reason = CheckFormat(aSetting.format, text);
      if (!reason.empty()) {
        AddProblem(name, reason);
        continue;
      }
      (m_settings.*aSetting.member).push_back(text);
    }
  }

  void ReportUnknownSetting(const std::string& aName)
  {
    for (const IntegerSetting& setting : kIntegerSettings) {
      if (NameWithoutUnit(aName) == NameWithoutUnit(setting.name)) {
        AddProblem(aName,
                   fmt::format("has the wrong unit; use {} in {}",
                               setting.name,
                               setting.unit));
        return;
      }
    }
    AddProblem(aName, "is not a known setting");
  }

  std::string m_source;
  Problems m_problems;
  std::map<std::string, Json> m_values;
  Settings m_settings;
};

const char*
FormatDescription(ValueFormat aFormat)
{
  switch (aFormat) {
    case ValueFormat::kName:
      return "1 to 64 of a-z A-Z 0-9 - _";
    case ValueFormat::kAddress:
      return "IPv4:port";
    case ValueFormat::kLoopbackAddress:
      return "loopback IPv4:port";
    case ValueFormat::kUrl:
      return "http://...";
    case ValueFormat::kPath:
      return "path";
    case ValueFormat::kLogLevel:
      return "debug, info, warn, error";
  }
  return "";
}

} // namespace

bool
ParseAddress(std::string_view aText, std::string& aHost, uint16_t& aPort)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string host(aText.substr(0, colon));
  std::error_code error;
  asio::ip::make_address_v4(host, error);
  if (error) {
    return false;
  }
  const std::string_view portText = aText.substr(colon + 1);
  const char* end = portText.data() + portText.size();
  const auto parsed = std::from_chars(portText.data(), end, aPort);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return false;
  }
  aHost = host;
  return true;
}

Result<Settings>
ParseSettings(std::string_view aText, std::string_view aSource)
{
  return Parser(aSource).Parse(aText);
}

Result<Settings>
LoadSettings(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("{}: file: cannot be read", aPath) };
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aPath);
}

std::vector<SettingDescription>
DescribeSettings()
{
  std::vector<SettingDescription> descriptions;
  descriptions.reserve(kStringSettings.size() + kIntegerSettings.size() +
                       kStringListSettings.size());
  for (const StringSetting& setting : kStringSettings) {
    descriptions.push_back(
      { setting.name,
        "string",
        "",
        setting.defaultValue ? setting.defaultValue : "required",
        FormatDescription(setting.format),
        setting.description });
  }
  for (const IntegerSetting& setting : kIntegerSettings) {
    descriptions.push_back(
      { setting.name,
        "integer",
        setting.unit,
        fmt::format("{}", setting.defaultValue),
        fmt::format("{} to {}", setting.minimum, setting.maximum),
        setting.description });
  }
  for (const StringListSetting& setting : kStringListSettings) {
    descriptions.push_back({ setting.name,
                             "list",
                             "",
                             "[]",
                             FormatDescription(setting.format),
                             setting.description });
  }
  return descriptions;
}

} // namespace wagtailbend::settings
