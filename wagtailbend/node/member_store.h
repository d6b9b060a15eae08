// Keeps this daemon's row in the store and reads the rows of its peers.
//
//   MemberStore members(platform, onMembers);
//   members.Start();
//   members.Put(self, [] { ... });

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "wagtailbend/mesh/member.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::node {

/// Makes all calls on a dedicated thread, one at a time. The platform must
/// outlive it. Put, OnGeneration, RemoveLocalRow, RemovePeerRows and Stop are
/// thread-safe.
class MemberStore
{
public:
  /// Called on the store's thread with all rows that could be parsed.
  using OnMembers = std::function<void(const std::vector<mesh::Member>&)>;

  MemberStore(store::Platform& aPlatform,
              std::string aLocalAddress,
              OnMembers aOnMembers);
  ~MemberStore();
  MemberStore(const MemberStore&) = delete;
  MemberStore& operator=(const MemberStore&) = delete;

  void Start();
  /// Stores a newer record, retrying until it succeeds. Calls aDone on the
  /// store's thread when this or a later record is stored. If aMember names no
  /// leaving target, the one that an earlier process stored is kept.
  void Put(const mesh::Member& aMember, std::function<void()> aDone);
  /// Notes a generation of the store that this or another daemon has seen. If
  /// it is newer than the row of this daemon, the row is read, since a restore
  /// may have undone it. If so, it is stored again and then all rows are read.
  void OnGeneration(uint64_t aGeneration);
  /// For a planned stop: deletes this daemon's row, or marks it as stopped if
  /// it names a leaving target, which the next process must know. Not retried.
  void RemoveLocalRow();
  /// Deletes the rows of removed daemons, except rows that were written after
  /// the last read of all rows. Not retried.
  void RemovePeerRows(const std::vector<std::string>& aAddresses);
  /// Call Platform::Interrupt first.
  void Stop();

private:
  void Run();
  uint64_t KnownGeneration() const;
  /// Returns true if this daemon's row may not be as it was stored.
  bool MayRowBeUndone() const;
  bool IsRowAsStored() const;
  bool ReadLocalRow();
  enum class WriteOutcome : uint8_t
  {
    kFailed,
    /// The row was read and is as it should be.
    kUnchanged,
    kWritten,
  };
  WriteOutcome WriteLocalRow(mesh::Member aMember);
  /// Deletes the row or marks it as stopped.
  /// aUnwritten: a newer record that is not stored yet.
  void FinishLocalRow(const std::optional<mesh::Member>& aUnwritten);
  bool CommitLocalRow(const std::optional<std::string>& aValue);
  void DeletePeerRows(const std::vector<std::string>& aAddresses);
  bool ReadAllRows();

  store::Platform& m_platform;
  const std::string m_localAddress;
  const OnMembers m_onMembers;
  std::mutex m_mutex;
  std::condition_variable m_wakeup;
  bool m_stopping = false;
  bool m_removeRequested = false;
  std::optional<mesh::Member> m_pendingRecord;
  std::vector<std::function<void()>> m_storedCallbacks;
  std::vector<std::string> m_peerRowsToDelete;
  /// Newest generation of the store that a peer or another thread has seen.
  std::atomic<uint64_t> m_reportedGeneration{ 0 };
  /// Row versions at the last read of all rows, and the generation of the store
  /// that they belong to. Must be used on the store's thread only.
  std::map<std::string, uint64_t> m_rowVersions;
  uint64_t m_rowVersionsGeneration = 0;
  /// Version of this daemon's row. Must be used on the store's thread only.
  std::optional<uint64_t> m_localRowVersion;
  bool m_localRowVersionKnown = false;
  /// Value of this daemon's row as read, until it is written. Must be used on
  /// the store's thread only.
  std::optional<std::string> m_readValue;
  /// This daemon's record as last stored by this process, or by an earlier one
  /// if this one has stored none yet. Must be used on the store's thread only.
  mesh::Member m_storedRecord;
  /// This process has stored a record. Must be used on the store's thread only.
  bool m_hasStored = false;
  /// Generation of the store known before the row was stored. Must be used on
  /// the store's thread only.
  uint64_t m_storedGeneration = 0;
  /// The last read showed another row than the one stored. Must be used on the
  /// store's thread only.
  bool m_rowMissing = false;
  std::thread m_thread;
};

} // namespace wagtailbend::node
