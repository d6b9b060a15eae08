// Interface to the platform's transactional table service and object store.
//
//   TransactRequest request{ .conditions = { { "config", "head", 7 } },
//                            .writes = { { "config", "head", bytes } } };
//   TransactResult result = platform.Transact(request);
//   if (const auto* unknown = std::get_if<Unknown>(&result)) {
//     // Read a written row to find out whether the transaction was applied.
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

/// One row of a table. Versions come from a single counter of the whole store,
/// so within one generation of the store a row that is deleted and written
/// again never reuses a version.
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

/// The current state of a row whose condition did not hold.
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

/// A consistent snapshot of all rows of a table.
struct TableSnapshot
{
  std::vector<Row> rows;
  /// Version of the store at the snapshot; to be passed to WaitForChanges.
  uint64_t version = 0;
  /// Generation of the store at the snapshot; see Platform::Generation.
  uint64_t generation = 0;

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
  /// Ordered by version.
  std::vector<RowChange> changes;
  /// To be passed to the next WaitForChanges.
  uint64_t version = 0;
  /// Generation of the store at the response. If it is not that of the snapshot
  /// or call before, changes may be missing: read the table again.
  uint64_t generation = 0;

  bool operator==(const TableChanges&) const = default;
};

/// All calls block and are thread-safe. They must run on an I/O thread pool,
/// never on the control thread or a traffic thread.
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
  /// kinds as for ReadRow.
  virtual Result<std::vector<Row>> ListRows(const std::string& aTable,
                                            const std::string& aPrefix) = 0;

  /// Returns all rows of a table. Error kinds as for ReadRow; kInvalidRequest
  /// also if the platform does not support this call.
  virtual Result<TableSnapshot> ReadTable(const std::string& aTable);

  /// Waits up to aWait for changes after aVersion and returns them; empty after
  /// a time-out. Error kinds as for ReadTable, and kHistoryLost if changes
  /// after aVersion are no longer retained: the caller must read the table
  /// again.
  virtual Result<TableChanges> WaitForChanges(const std::string& aTable,
                                              uint64_t aVersion,
                                              Duration aWait);

  /// Returns the newest generation of the store in any response so far; 0 if
  /// the platform names none. It increases when the store is restored from a
  /// backup: writes since the backup are undone although they were
  /// acknowledged, and their versions are given out again. Does not block.
  virtual uint64_t Generation() const { return 0; }

  /// Aborts waiting calls and makes later ones fail, for process shutdown.
  virtual void Interrupt() {}

  /// Creates or replaces an object.
  virtual PutResult PutObject(const std::string& aKey,
                              const std::string& aBytes) = 0;

  /// Returns the object, or nullopt if it is absent. Error kinds as for
  /// ReadRow.
  virtual Result<std::optional<std::string>> GetObject(
    const std::string& aKey) = 0;
};

} // namespace wagtailbend::store
