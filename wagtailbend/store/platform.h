// The platform's transactional table service and object store.
//
//   TransactRequest request{ .conditions = { { "config", "head", 7 } },
//                            .writes = { { "config", "head", bytes } } };
//   TransactResult result = platform.Transact(request);
//   if (const auto* unknown = std::get_if<Unknown>(&result)) {
//     // Read a row back to learn whether the transaction was applied.
//   }

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::store {

/// One row of a table. Versions come from one counter of the whole store, so
/// a row that is deleted and written again never repeats a version.
struct Row
{
  /// UTF-8.
  std::string key;
  uint64_t version = 0;
  /// Arbitrary bytes.
  std::string value;

  bool operator==(const Row&) const = default;
};

/// A condition that a row must meet for a transaction to be applied.
struct Condition
{
  std::string table;
  std::string key;
  /// Expected version; nullopt: the row must be absent.
  std::optional<uint64_t> version;

  bool operator==(const Condition&) const = default;
};

/// One write of a transaction.
struct Write
{
  std::string table;
  std::string key;
  /// New value; nullopt deletes the row.
  std::optional<std::string> value;

  bool operator==(const Write&) const = default;
};

/// All writes are applied if all conditions hold, otherwise none.
struct TransactRequest
{
  std::vector<Condition> conditions;
  std::vector<Write> writes;

  bool operator==(const TransactRequest&) const = default;
};

/// The transaction was applied.
struct Committed
{
  /// One version for each write, in the order of the request.
  std::vector<uint64_t> versions;

  bool operator==(const Committed&) const = default;
};

/// The present state of a row whose condition did not hold.
struct ConflictingRow
{
  std::string table;
  std::string key;
  /// nullopt: the row is absent.
  std::optional<Row> current;

  bool operator==(const ConflictingRow&) const = default;
};

/// A condition did not hold; nothing was applied.
struct Conflict
{
  std::vector<ConflictingRow> rows;

  bool operator==(const Conflict&) const = default;
};

/// The request was not applied and never will be.
struct Refused
{
  /// kPlatformUnavailable or kInvalidRequest.
  Error error;

  bool operator==(const Refused&) const = default;
};

/// The request may have taken effect, or may still take effect later.
struct Unknown
{
  std::string detail;

  bool operator==(const Unknown&) const = default;
};

using TransactResult = std::variant<Committed, Conflict, Refused, Unknown>;
using PutResult = std::variant<Done, Refused, Unknown>;

/// All rows of a table at one moment.
struct TableSnapshot
{
  std::vector<Row> rows;
  /// Version of the store at that moment; continues with WaitForChanges.
  uint64_t version = 0;

  bool operator==(const TableSnapshot&) const = default;
};

/// A row that was written or, without a value, deleted.
struct RowChange
{
  std::string key;
  uint64_t version = 0;
  std::optional<std::string> value;

  bool operator==(const RowChange&) const = default;
};

struct TableChanges
{
  /// In the order of their versions.
  std::vector<RowChange> changes;
  /// Continues with the next WaitForChanges.
  uint64_t version = 0;

  bool operator==(const TableChanges&) const = default;
};

/// All calls block and are thread-safe. They belong on an I/O pool, never on
/// the control thread or on a traffic thread.
class Platform
{
public:
  virtual ~Platform() = default;

  /// Applies all writes or none. Table names and keys must not be empty, and
  /// table names must not contain '/'.
  virtual TransactResult Transact(const TransactRequest& aRequest) = 0;

  /// Returns the row, or nullopt if it is absent. Error kinds:
  /// kPlatformUnavailable, kInvalidRequest.
  virtual Result<std::optional<Row>> ReadRow(const std::string& aTable,
                                             const std::string& aKey) = 0;

  /// Returns the rows whose keys begin with aPrefix, ordered by key. Error
  /// kinds as ReadRow.
  virtual Result<std::vector<Row>> ListRows(const std::string& aTable,
                                            const std::string& aPrefix) = 0;

  /// Returns all rows of a table. Error kinds as ReadRow; kInvalidRequest also
  /// from a platform without this call.
  virtual Result<TableSnapshot> ReadTable(const std::string& aTable);

  /// Returns the changes after aVersion as soon as there is one, or none after
  /// aWait. Error kinds as ReadTable, and kHistoryLost if changes after
  /// aVersion are no longer kept: read the table again.
  virtual Result<TableChanges> WaitForChanges(const std::string& aTable,
                                              uint64_t aVersion,
                                              Duration aWait);

  /// Ends calls that wait and makes later ones fail, for a stop of the process.
  virtual void Interrupt() {}

  /// Stores or replaces an object.
  virtual PutResult PutObject(const std::string& aKey,
                              const std::string& aBytes) = 0;

  /// Returns the object, or nullopt if it is absent. Error kinds as ReadRow.
  virtual Result<std::optional<std::string>> GetObject(
    const std::string& aKey) = 0;
};

} // namespace wagtailbend::store
