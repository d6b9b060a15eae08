#include "wagtailbend/node/member_store.h"

#include <limits>

#include <gtest/gtest.h>

#include "testing/fakes/in_memory_platform.h"
#include "wagtailbend/mesh/convert.h"

namespace wagtailbend::node {
namespace {

using testing_fakes::FaultKind;
using testing_fakes::Faults;
using testing_fakes::InMemoryPlatform;
using testing_fakes::Operation;

constexpr const char* kTable = "wagtailbend_members";
constexpr const char* kLocalAddress = "10.0.0.1:7";

mesh::Member
MakeMember(const std::string& aAddress, uint64_t aRevision)
{
  mesh::Member member;
  member.address = aAddress;
  member.incarnation = 5;
  member.revision = aRevision;
  return member;
}

class MemberStoreTest : public ::testing::Test
{
protected:
  MemberStoreTest()
    : m_store(m_platform, kLocalAddress, [this](const auto& aMembers) {
      const std::lock_guard lock(m_mutex);
      m_members = aMembers;
      m_changed.notify_all();
    })
  {
  }

  bool WaitFor(const std::function<bool()>& aCondition)
  {
    for (int i = 0; i < 400; ++i) {
      {
        const std::lock_guard lock(m_mutex);
        if (aCondition()) {
          return true;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  std::optional<mesh::Member> Stored(const std::string& aAddress)
  {
    auto row = m_platform.ReadRow(kTable, aAddress);
    if (!IsOk(row) || !GetValue(row)) {
      return std::nullopt;
    }
    mesh::wire::MemberRecord record;
    EXPECT_TRUE(record.ParseFromString(GetValue(row)->value));
    return mesh::FromProto(record);
  }

  void Write(const std::string& aAddress, const std::string& aValue)
  {
    m_platform.Transact({ {}, { { kTable, aAddress, aValue } } });
  }

  InMemoryPlatform m_platform;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<mesh::Member> m_members;
  MemberStore m_store;
};

// Guards against two daemons that start together and never discover each other.
TEST_F(MemberStoreTest, ReadsPeersAfterStoringTheLocalRow)
{
  Write("10.0.0.2:7",
        mesh::ToProto(MakeMember("10.0.0.2:7", 1)).SerializeAsString());
  Write("10.0.0.3:7", "no record");
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  EXPECT_TRUE(WaitFor([this] { return m_members.size() == 2; }));
  EXPECT_EQ(Stored(kLocalAddress), MakeMember(kLocalAddress, 1));
}

// Guards against following entries of another writer.
TEST_F(MemberStoreTest, LeavesOutEntriesOfOtherWriters)
{
  const auto write = [this](const mesh::Member& aMember) {
    Write(aMember.address, mesh::ToProto(aMember).SerializeAsString());
  };
  write(MakeMember("10.0.0.2:7", 1));
  write(MakeMember("10.0.0.3:99999", 1));
  write(MakeMember("10.0.0.4:0", 1));
  write(MakeMember("no address", 1));
  mesh::Member future = MakeMember("10.0.0.5:7", 1);
  future.startTimeMs = std::numeric_limits<uint64_t>::max();
  write(future);
  Write("10.0.0.6:7", std::string(100000, '['));
  Write("10.0.0.7:7", R"({"address":"10.0.0.7:7","started_ms":1e999})");
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  EXPECT_TRUE(WaitFor([this] { return !m_members.empty(); }));
  std::vector<std::string> addresses;
  for (const mesh::Member& member : m_members) {
    addresses.push_back(member.address);
  }
  EXPECT_EQ(addresses,
            (std::vector<std::string>{ kLocalAddress, "10.0.0.2:7" }));
}

// Guards against a daemon that does not know its peers for a whole read
// interval because its first read failed.
TEST_F(MemberStoreTest, RetriesSoonAfterAFailedRead)
{
  Write("10.0.0.2:7",
        mesh::ToProto(MakeMember("10.0.0.2:7", 1)).SerializeAsString());
  Faults faults;
  faults.kind = FaultKind::kDown;
  faults.operations = { Operation::kListRows };
  faults.limit = 2;
  m_platform.SetFaults(faults);
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  EXPECT_TRUE(WaitFor([this] { return m_members.size() == 2; }));
}

// Guards against losing a leave that an earlier process acknowledged: if the
// first record of the next process overwrites it, that process trusts a late
// heartbeat of the target that left.
TEST_F(MemberStoreTest, KeepsTheLeaveStoredByAnEarlierProcess)
{
  mesh::Member earlier = MakeMember(kLocalAddress, 9);
  earlier.incarnation = 4;
  earlier.leavingTarget = { "target-1", 77 };
  Write(kLocalAddress, mesh::ToProto(earlier).SerializeAsString());
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  EXPECT_TRUE(WaitFor([this] { return !m_members.empty(); }));
  ASSERT_EQ(m_members.size(), 1U);
  EXPECT_EQ(m_members.front().incarnation, 5U);
  EXPECT_EQ(m_members.front().leavingTarget, earlier.leavingTarget);
  std::atomic<bool> stored{ false };
  m_store.Put(MakeMember(kLocalAddress, 2), [&stored] { stored = true; });
  EXPECT_TRUE(WaitFor([&stored] { return stored.load(); }));
  EXPECT_EQ(Stored(kLocalAddress)->leavingTarget, earlier.leavingTarget);
}

// Guards against losing a leave when the daemon is restarted as planned.
TEST_F(MemberStoreTest, PlannedStopKeepsTheRowOfALeavingTarget)
{
  mesh::Member member = MakeMember(kLocalAddress, 1);
  member.leavingTarget = { "target-1", 77 };
  m_store.Put(member, nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
  m_store.RemoveLocalRow();
  EXPECT_TRUE(
    WaitFor([this] { return Stored(kLocalAddress)->stopTimeMs != 0; }));
  EXPECT_EQ(Stored(kLocalAddress)->leavingTarget, member.leavingTarget);
}

// Guards against losing a leave that arrives just before a planned stop, while
// the previous write is still pending.
TEST_F(MemberStoreTest, PlannedStopStoresAPendingLeave)
{
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
  Faults slow;
  slow.delay = std::chrono::milliseconds(200);
  slow.operations = { Operation::kTransact };
  slow.limit = 1;
  m_platform.SetFaults(slow);
  m_store.Put(MakeMember(kLocalAddress, 2), nullptr);
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  mesh::Member member = MakeMember(kLocalAddress, 3);
  member.leavingTarget = { "target-1", 77 };
  m_store.Put(member, nullptr);
  m_store.RemoveLocalRow();
  ASSERT_TRUE(WaitFor([this] {
    const auto stored = Stored(kLocalAddress);
    return !stored || stored->stopTimeMs != 0;
  }));
  ASSERT_TRUE(Stored(kLocalAddress).has_value());
  EXPECT_EQ(Stored(kLocalAddress)->leavingTarget, member.leavingTarget);
}

// Guards against a daemon whose row is missing until it restarts.
TEST_F(MemberStoreTest, WritesItsRowAgainWhenARestoreUndidIt)
{
  mesh::Member member = MakeMember(kLocalAddress, 1);
  member.leavingTarget = { "target-1", 77 };
  m_store.Put(member, nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return m_members.size() == 1; }));
  m_platform.Restore();
  Write("10.0.0.2:7",
        mesh::ToProto(MakeMember("10.0.0.2:7", 1)).SerializeAsString());
  m_store.OnGeneration(2);
  EXPECT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
  EXPECT_EQ(Stored(kLocalAddress), member);
  // One that started meanwhile, and found no peer.
  EXPECT_TRUE(WaitFor([this] { return m_members.size() == 2; }));
}

// Guards against all daemons reading all rows at once after a restore.
TEST_F(MemberStoreTest, OnlyReadsItsRowAfterARestoreThatKeptIt)
{
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return m_members.size() == 1; }));
  m_platform.TakeBackup();
  m_platform.Restore();
  const uint64_t calls = m_platform.TotalCount();
  m_store.OnGeneration(2);
  EXPECT_TRUE(
    WaitFor([this, calls] { return m_platform.TotalCount() > calls; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  EXPECT_EQ(m_platform.TotalCount(), calls + 1);
}

// Guards against a row that a peer deleted by mistake and nobody restores.
TEST_F(MemberStoreTest, WritesItsRowAgainWhenAReadDoesNotShowIt)
{
  Faults faults;
  faults.kind = FaultKind::kDown;
  faults.operations = { Operation::kListRows };
  faults.limit = 2;
  m_platform.SetFaults(faults);
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
  m_platform.Transact({ {}, { { kTable, kLocalAddress, std::nullopt } } });
  EXPECT_FALSE(Stored(kLocalAddress).has_value());
  EXPECT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
}

// Guards against replacing a leave by the older one of a restored row.
TEST_F(MemberStoreTest, KeepsItsLeaveWhenARestoreBringsBackAnOlderRow)
{
  mesh::Member member = MakeMember(kLocalAddress, 1);
  member.leavingTarget = { "target-1", 77 };
  m_store.Put(member, nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return m_members.size() == 1; }));
  m_platform.TakeBackup();
  member.leavingTarget = { "target-2", 99 };
  ++member.revision;
  std::atomic<bool> stored{ false };
  m_store.Put(member, [&stored] { stored = true; });
  ASSERT_TRUE(WaitFor([&stored] { return stored.load(); }));
  m_platform.Restore();
  stored = false;
  m_store.Put(MakeMember(kLocalAddress, 3), [&stored] { stored = true; });
  ASSERT_TRUE(WaitFor([&stored] { return stored.load(); }));
  EXPECT_EQ(Stored(kLocalAddress)->leavingTarget, member.leavingTarget);
}

// Guards against deleting a newer row that got the version of an older one.
TEST_F(MemberStoreTest, KeepsAPeerRowWhoseVersionWasGivenOutTwice)
{
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_platform.TakeBackup();
  Write("10.0.0.2:7",
        mesh::ToProto(MakeMember("10.0.0.2:7", 1)).SerializeAsString());
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return m_members.size() == 2; }));
  m_platform.Restore();
  Write("10.0.0.2:7",
        mesh::ToProto(MakeMember("10.0.0.2:7", 2)).SerializeAsString());
  m_store.RemovePeerRows({ "10.0.0.2:7" });
  m_store.OnGeneration(2);
  EXPECT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
  EXPECT_TRUE(Stored("10.0.0.2:7").has_value());
}

struct FaultCase
{
  const char* name;
  FaultKind kind;
};

class StoreFaults
  : public MemberStoreTest
  , public ::testing::WithParamInterface<FaultCase>
{};

// Guards against acknowledging a record that is not stored, and against a row
// that stays outdated after a lost response.
TEST_P(StoreFaults, StoresTheNewestRecordDespiteFaults)
{
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return Stored(kLocalAddress).has_value(); }));
  Faults faults;
  faults.kind = GetParam().kind;
  faults.operations = { Operation::kTransact };
  faults.limit = 2;
  m_platform.SetFaults(faults);
  std::atomic<bool> acknowledged{ false };
  m_store.Put(MakeMember(kLocalAddress, 2), [this, &acknowledged] {
    EXPECT_EQ(Stored(kLocalAddress)->revision, 2U);
    acknowledged = true;
  });
  EXPECT_TRUE(WaitFor([&acknowledged] { return acknowledged.load(); }));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  StoreFaults,
  ::testing::Values(FaultCase{ "Down", FaultKind::kDown },
                    FaultCase{ "ReplyLost", FaultKind::kReplyLost },
                    FaultCase{ "RequestLost", FaultKind::kRequestLost }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against rows of removed daemons that are never deleted, and against
// deleting a row that was written again after the last read.
TEST_F(MemberStoreTest, DeletesOnlyRowsUnchangedSinceTheRead)
{
  for (const char* address : { "10.0.0.2:7", "10.0.0.3:7" }) {
    Write(address, mesh::ToProto(MakeMember(address, 1)).SerializeAsString());
  }
  m_store.Put(MakeMember(kLocalAddress, 1), nullptr);
  m_store.Start();
  ASSERT_TRUE(WaitFor([this] { return m_members.size() == 3; }));
  Write("10.0.0.3:7",
        mesh::ToProto(MakeMember("10.0.0.3:7", 2)).SerializeAsString());
  m_store.RemovePeerRows({ "10.0.0.2:7", "10.0.0.3:7" });
  EXPECT_TRUE(WaitFor([this] { return !Stored("10.0.0.2:7"); }));
  m_store.RemoveLocalRow();
  EXPECT_TRUE(WaitFor([this] { return !Stored(kLocalAddress); }));
  EXPECT_EQ(Stored("10.0.0.3:7")->revision, 2U);
}

} // namespace
} // namespace wagtailbend::node
