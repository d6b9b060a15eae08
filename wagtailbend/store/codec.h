// JSON encoding of the platform protocol, shared by the HTTP client and the
// fake server. Row values are base64-encoded because JSON strings must be
// UTF-8.
//
//   std::string body = EncodeTransact(request);
//   Result<TransactRequest> request = DecodeTransact(body);

#pragma once

#include <string>
#include <vector>

#include "wagtailbend/store/platform.h"

namespace wagtailbend::store {

// Each Decode function returns kInvalidRequest for a malformed body. Encode
// functions do not throw; they require table names and keys in valid UTF-8 (see
// CheckNames). All functions are thread-safe.

std::string
EncodeTransact(const TransactRequest& aRequest);
Result<TransactRequest>
DecodeTransact(const std::string& aBody);

std::string
EncodeCommitted(const Committed& aCommitted);
Result<Committed>
DecodeCommitted(const std::string& aBody);

std::string
EncodeConflict(const Conflict& aConflict);
Result<Conflict>
DecodeConflict(const std::string& aBody);

std::string
EncodeRow(const Row& aRow);
Result<Row>
DecodeRow(const std::string& aBody);

std::string
EncodeRows(const std::vector<Row>& aRows);
Result<std::vector<Row>>
DecodeRows(const std::string& aBody);

/// Returns the body of a 503 response to a request that was not applied. A 503
/// response without it may come from an intermediary and leaves the outcome
/// unknown.
std::string
EncodeNotApplied(const std::string& aDetail);
/// Returns true if aBody states that the request was not applied.
bool
StatesNotApplied(const std::string& aBody);

/// Returns why a table name or key is invalid, or "" if both are valid.
std::string
CheckNames(const std::string& aTable, const std::string& aKey);
/// Returns why a request is invalid, or "" if it is valid.
std::string
CheckRequest(const TransactRequest& aRequest);

} // namespace wagtailbend::store
