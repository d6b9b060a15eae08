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

using internal::kListFields;
using internal::kNumberFields;
using internal::kTextFields;
using internal::ListField;
using internal::NumberField;
using internal::Rule;
using internal::TextField;
using Json = nlohmann::json;
using Problems = std::vector<std::string>;

constexpr std::array<std::string_view, 4> kLogLevels = { "debug",
                                                         "info",
                                                         "warn",
                                                         "error" };

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= 64 &&
         std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
           return std::isalnum(aByte) || aByte == '-' || aByte == '_';
         });
}

bool
IsLoopback(std::string_view aText)
{
  std::string host;
  uint16_t port = 0;
  return ParseAddress(aText, host, port) &&
         asio::ip::make_address_v4(host).is_loopback();
}

// Returns the reason why aText breaks aRule, or an empty string.
std::string
CheckText(Rule aRule, std::string_view aText)
{
  std::string host;
  uint16_t port = 0;
  switch (aRule) {
    case Rule::kName:
      return IsName(aText) ? "" : "must be 1 to 64 of a-z A-Z 0-9 - _";
    case Rule::kAddress:
      return ParseAddress(aText, host, port)
               ? ""
               : "must be an IPv4 number and a port, such as 127.0.0.1:7001";
    case Rule::kLoopbackAddress:
      return IsLoopback(aText) ? "" : "must be a loopback IPv4 number and port";
    case Rule::kUrl:
      return aText.empty() || aText.starts_with("http://")
               ? ""
               : "must start with http://";
    case Rule::kPath:
      return "";
    case Rule::kLogLevel:
      return std::find(kLogLevels.begin(), kLogLevels.end(), aText) !=
                 kLogLevels.end()
               ? ""
               : "must be debug, info, warn or error";
  }
  return "";
}

// Name without its unit suffix, so that a wrong unit is reported as such.
std::string_view
Stem(std::string_view aName)
{
  const size_t dot = aName.rfind('.');
  const size_t underscore = aName.rfind('_');
  if (underscore == std::string_view::npos ||
      (dot != std::string_view::npos && underscore < dot)) {
    return aName;
  }
  return aName.substr(0, underscore);
}

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
      Report("file", "is not valid JSON (comments are allowed)");
      return Failure();
    }
    if (!json.is_object()) {
      Report("file", "must hold one JSON object");
      return Failure();
    }
    Flatten("", json);
    for (const TextField& field : kTextFields) {
      ReadText(field);
    }
    for (const NumberField& field : kNumberFields) {
      ReadNumber(field);
    }
    for (const ListField& field : kListFields) {
      ReadList(field);
    }
    for (const auto& [name, value] : m_values) {
      ReportUnknown(name);
    }
    if (!m_problems.empty()) {
      return Failure();
    }
    return m_settings;
  }

private:
  void Report(std::string_view aField, std::string_view aReason)
  {
    m_problems.push_back(fmt::format("{}: {}: {}", m_source, aField, aReason));
  }

  Error Failure() const
  {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("{}", fmt::join(m_problems, "\n")) };
  }

  void Flatten(const std::string& aPrefix, const Json& aObject)
  {
    for (const auto& [key, value] : aObject.items()) {
      const std::string name =
        aPrefix.empty() ? key : fmt::format("{}.{}", aPrefix, key);
      if (value.is_object()) {
        Flatten(name, value);
        continue;
      }
      m_values.emplace(name, value);
    }
  }

  // Removes the value so that what remains at the end is unknown.
  std::optional<Json> Take(const std::string& aName)
  {
    const auto found = m_values.find(aName);
    if (found == m_values.end()) {
      return std::nullopt;
    }
    Json value = std::move(found->second);
    m_values.erase(found);
    return value;
  }

  void ReadText(const TextField& aField)
  {
    const std::optional<Json> value = Take(aField.name);
    if (!value) {
      if (!aField.defaultValue) {
        Report(aField.name, "is required");
        return;
      }
      m_settings.*aField.member = aField.defaultValue;
      return;
    }
    if (!value->is_string()) {
      Report(aField.name, "must be a string");
      return;
    }
    const auto text = value->get<std::string>();
    const std::string reason = CheckText(aField.rule, text);
    if (!reason.empty()) {
      Report(aField.name, reason);
      return;
    }
    m_settings.*aField.member = text;
  }

  void ReadNumber(const NumberField& aField)
  {
    const std::optional<Json> value = Take(aField.name);
    if (!value) {
      m_settings.*aField.member = aField.defaultValue;
      return;
    }
    if (!value->is_number_unsigned() ||
        value->get<uint64_t>() < aField.minimum ||
        value->get<uint64_t>() > aField.maximum) {
      Report(aField.name,
             fmt::format("must be a whole number from {} to {} ({})",
                         aField.minimum,
                         aField.maximum,
                         aField.unit));
      return;
    }
    m_settings.*aField.member = value->get<uint32_t>();
  }

  void ReadList(const ListField& aField)
  {
    const std::optional<Json> value = Take(aField.name);
    if (!value) {
      return;
    }
    if (!value->is_array()) {
      Report(aField.name, "must be a list of strings");
      return;
    }
    for (size_t i = 0; i < value->size(); ++i) {
      const Json& item = (*value)[i];
      const std::string name = fmt::format("{}[{}]", aField.name, i);
      if (!item.is_string()) {
        Report(name, "must be a string");
        continue;
      }
      const auto text = item.get<std::string>();
      const std::string reason = CheckText(aField.rule, text);
      if (!reason.empty()) {
        Report(name, reason);
        continue;
      }
      (m_settings.*aField.member).push_back(text);
    }
  }

  void ReportUnknown(const std::string& aName)
  {
    for (const NumberField& field : kNumberFields) {
      if (Stem(aName) == Stem(field.name)) {
        Report(aName,
               fmt::format(
                 "has the wrong unit; use {} in {}", field.name, field.unit));
        return;
      }
    }
    Report(aName, "is not a known setting");
  }

  std::string m_source;
  Problems m_problems;
  std::map<std::string, Json> m_values;
  Settings m_settings;
};

const char*
RangeText(Rule aRule)
{
  switch (aRule) {
    case Rule::kName:
      return "1 to 64 of a-z A-Z 0-9 - _";
    case Rule::kAddress:
      return "IPv4:port";
    case Rule::kLoopbackAddress:
      return "loopback IPv4:port";
    case Rule::kUrl:
      return "http://...";
    case Rule::kPath:
      return "path";
    case Rule::kLogLevel:
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
  std::vector<SettingDescription> rows;
  rows.reserve(kTextFields.size() + kNumberFields.size() + kListFields.size());
  for (const TextField& field : kTextFields) {
    rows.push_back({ field.name,
                     "string",
                     "",
                     field.defaultValue ? field.defaultValue : "required",
                     RangeText(field.rule),
                     field.text });
  }
  for (const NumberField& field : kNumberFields) {
    rows.push_back({ field.name,
                     "integer",
                     field.unit,
                     fmt::format("{}", field.defaultValue),
                     fmt::format("{} to {}", field.minimum, field.maximum),
                     field.text });
  }
  for (const ListField& field : kListFields) {
    rows.push_back(
      { field.name, "list", "", "[]", RangeText(field.rule), field.text });
  }
  return rows;
}

} // namespace wagtailbend::settings
