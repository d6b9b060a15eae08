// JSON bodies of the platform protocol, shared by the HTTP client and by the
// fake server. Row values are base64, because JSON strings must be UTF-8.
//
//   std::string body = EncodeTransact(request);
//   Result<TransactRequest> request = DecodeTransact(body);

#pragma once

#include <string>
#include <vector>

#include "wagtailbend/store/platform.h"

namespace wagtailbend::store {

// Each Decode function returns kInvalidRequest for a body that is not of the
// expected form. Encode functions throw nothing; precondition: names and keys
// are valid UTF-8 (see CheckNames). All functions are thread-safe.

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

/// Body of a 503 response to a request that was not applied. A 503 response
/// without it, for example from an intermediary, does not prove that.
std::string
EncodeNotApplied(const std::string& aDetail);
/// Returns true if aBody states that the request was not applied.
bool
StatesNotApplied(const std::string& aBody);

/// Returns why a table name or key is not allowed, or "".
std::string
CheckNames(const std::string& aTable, const std::string& aKey);
/// Returns why a request is not allowed, or "".
std::string
CheckRequest(const TransactRequest& aRequest);

/// Escapes every byte except unreserved characters for use in a URL.
std::string
PercentEncode(const std::string& aText);

} // namespace wagtailbend::store
