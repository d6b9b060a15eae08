// Keeps this daemon's row in the store and reads the rows of its peers.
//
//   MemberStore members(platform, onMembers);
//   members.Start();
//   members.Put(self, [] { ... });

#pragma once

#include <condition_variable>
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
/// outlive it. Put, RemoveLocalRow, RemovePeerRows and Stop are thread-safe.
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
  bool ReadLocalRow();
  bool WriteLocalRow(mesh::Member aMember);
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
  /// Row versions at the last read of all rows. Must be used on the store's
  /// thread only.
  std::map<std::string, uint64_t> m_rowVersions;
  /// Version of this daemon's row. Must be used on the store's thread only.
  std::optional<uint64_t> m_localRowVersion;
  bool m_localRowVersionKnown = false;
  /// This daemon's record as last stored by this or an earlier process. Must be
  /// used on the store's thread only.
  mesh::Member m_storedRecord;
  std::thread m_thread;
};

} // namespace wagtailbend::node
