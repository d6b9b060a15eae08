#include "wagtailbend/store/codec.h"

#include <cctype>

#include <absl/strings/escaping.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::store {
namespace {

using Json = nlohmann::json;

std::string
ToBase64(const std::string& aBytes)
{
  std::string text;
  absl::Base64Escape(aBytes, &text);
  return text;
}

std::string
FromBase64(const std::string& aText)
{
  std::string bytes;
  if (!absl::Base64Unescape(aText, &bytes)) {
    throw std::invalid_argument("value is not base64");
  }
  return bytes;
}

Json
RowToJson(const Row& aRow)
{
  return { { "key", aRow.key },
           { "version", aRow.version },
           { "value", ToBase64(aRow.value) } };
}

Row
RowFromJson(const Json& aJson)
{
  return { aJson.at("key").get<std::string>(),
           aJson.at("version").get<uint64_t>(),
           FromBase64(aJson.at("value").get<std::string>()) };
}

// Parses aBody as JSON and applies aDecode to it. Exceptions of both become an
// Error whose detail starts with aMessageType.
template<typename Decode>
auto
DecodeJson(const std::string& aBody, const char* aMessageType, Decode aDecode)
  -> Result<decltype(aDecode(Json()))>
{
  try {
    return aDecode(Json::parse(aBody));
  } catch (const std::exception& e) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("{}: {}", aMessageType, e.what()) };
  }
}

bool
IsUtf8(const std::string& aText)
{
  try {
    static_cast<void>(Json(aText).dump());
    return true;
  } catch (const Json::exception&) {
    return false;
  }
}

} // namespace

std::string
EncodeTransact(const TransactRequest& aRequest)
{
  Json conditions = Json::array();
  for (const auto& condition : aRequest.conditions) {
    Json json{ { "table", condition.table }, { "key", condition.key } };
    json["version"] = condition.version ? Json(*condition.version) : Json();
    conditions.push_back(std::move(json));
  }
  Json writes = Json::array();
  for (const auto& write : aRequest.writes) {
    Json json{ { "table", write.table }, { "key", write.key } };
    json["value"] = write.value ? Json(ToBase64(*write.value)) : Json();
    writes.push_back(std::move(json));
  }
  return Json{ { "conditions", conditions }, { "writes", writes } }.dump();
}

Result<TransactRequest>
DecodeTransact(const std::string& aBody)
{
  return DecodeJson(aBody, "transact", [](const Json& aJson) {
    TransactRequest request;
    for (const auto& json : aJson.at("conditions")) {
      Condition condition{ json.at("table"), json.at("key"), std::nullopt };
      if (const auto& version = json.at("version"); !version.is_null()) {
        condition.version = version.get<uint64_t>();
      }
      request.conditions.push_back(std::move(condition));
    }
    for (const auto& json : aJson.at("writes")) {
      Write write{ json.at("table"), json.at("key"), std::nullopt };
      if (const auto& value = json.at("value"); !value.is_null()) {
        write.value = FromBase64(value.get<std::string>());
      }
      request.writes.push_back(std::move(write));
    }
    return request;
  });
}

std::string
EncodeCommitted(const Committed& aCommitted)
{
  return Json{ { "versions", aCommitted.versions } }.dump();
}

Result<Committed>
DecodeCommitted(const std::string& aBody)
{
  return DecodeJson(aBody, "committed", [](const Json& aJson) {
    return Committed{ aJson.at("versions").get<std::vector<uint64_t>>() };
  });
}

std::string
EncodeConflict(const Conflict& aConflict)
{
  Json rows = Json::array();
  for (const auto& row : aConflict.rows) {
    rows.push_back(
      { { "table", row.table },
        { "key", row.key },
        { "row", row.current ? RowToJson(*row.current) : Json() } });
  }
  return Json{ { "conflicts", rows } }.dump();
}

Result<Conflict>
DecodeConflict(const std::string& aBody)
{
  return DecodeJson(aBody, "conflict", [](const Json& aJson) {
    Conflict conflict;
    for (const auto& json : aJson.at("conflicts")) {
      ConflictingRow row{ json.at("table"), json.at("key"), std::nullopt };
      if (const auto& current = json.at("row"); !current.is_null()) {
        row.current = RowFromJson(current);
      }
      conflict.rows.push_back(std::move(row));
    }
    return conflict;
  });
}

std::string
EncodeRow(const Row& aRow)
{
  return RowToJson(aRow).dump();
}

Result<Row>
DecodeRow(const std::string& aBody)
{
  return DecodeJson(aBody, "row", RowFromJson);
}

std::string
EncodeRows(const std::vector<Row>& aRows)
{
  Json rows = Json::array();
  for (const auto& row : aRows) {
    rows.push_back(RowToJson(row));
  }
  return Json{ { "rows", rows } }.dump();
}

Result<std::vector<Row>>
DecodeRows(const std::string& aBody)
{
  return DecodeJson(aBody, "rows", [](const Json& aJson) {
    std::vector<Row> rows;
    for (const auto& json : aJson.at("rows")) {
      rows.push_back(RowFromJson(json));
    }
    return rows;
  });
}

std::string
EncodeNotApplied(const std::string& aDetail)
{
  return Json{ { "error", aDetail }, { "applied", false } }.dump();
}

bool
StatesNotApplied(const std::string& aBody)
{
  const Json json = Json::parse(aBody, nullptr, /*allow_exceptions=*/false);
  return json.is_object() && json.contains("applied") &&
         json["applied"] == false;
}

std::string
CheckNames(const std::string& aTable, const std::string& aKey)
{
  if (aTable.empty() || aTable.find('/') != std::string::npos) {
    return fmt::format("table \"{}\": must not be empty or contain '/'",
                       aTable);
  }
  if (aKey.empty()) {
    return "key: must not be empty";
  }
  return IsUtf8(aTable) && IsUtf8(aKey) ? "" : "table and key: must be UTF-8";
}

std::string
CheckRequest(const TransactRequest& aRequest)
{
  std::string reason;
  for (const auto& condition : aRequest.conditions) {
    reason += CheckNames(condition.table, condition.key);
  }
  for (const auto& write : aRequest.writes) {
    reason += CheckNames(write.table, write.key);
  }
  return reason;
}

} // namespace wagtailbend::store
