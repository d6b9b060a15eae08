#include "programs/wagtailctl.h"

#include <atomic>
#include <fstream>
#include <sstream>

#include <gmock/gmock.h>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include "testing/fakes/fake_platform_server.h"
#include "wagtailbend/admin.grpc.pb.h"

namespace wagtailbend::ctl {
namespace {

using testing::HasSubstr;
using testing_fakes::FakePlatformServer;
using testing_fakes::FaultKind;
using testing_fakes::InMemoryPlatform;
using testing_fakes::Operation;

// A daemon that takes any higher version after a number of refused pushes.
class FakeAdmin : public admin::Admin::Service
{
public:
  FakeAdmin()
  {
    grpc::ServerBuilder builder;
    builder.AddListeningPort(
      "127.0.0.1:0", grpc::InsecureServerCredentials(), &m_port);
    builder.RegisterService(this);
    m_server = builder.BuildAndStart();
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  grpc::Status Status(grpc::ServerContext*,
                      const admin::StatusRequest*,
                      admin::StatusReply* aReply) override
  {
    aReply->set_daemon("d1");
    aReply->set_config_version(m_version);
    return grpc::Status::OK;
  }
  grpc::Status PushConfig(grpc::ServerContext*,
                          const admin::PushConfigRequest* aRequest,
                          admin::PushConfigReply* aReply) override
  {
    if (m_refusals-- <= 0) {
      m_version = aRequest->version().version();
    }
    aReply->set_version_in_force(m_version);
    return grpc::Status::OK;
  }
  grpc::Status Drain(grpc::ServerContext*,
                     const admin::DrainRequest*,
                     admin::DrainReply* aReply) override
  {
    aReply->set_started(true);
    return grpc::Status::OK;
  }

  std::atomic<int> m_refusals = 0;
  std::atomic<uint64_t> m_version = 0;

private:
  int m_port = 0;
  std::unique_ptr<grpc::Server> m_server;
};

class CtlTest : public testing::Test
{
protected:
  void SetUp() override { ASSERT_TRUE(m_server.Start("127.0.0.1", 0)); }

  int Run(const std::vector<std::string>& aArgs)
  {
    m_out.str("");
    m_err.str("");
    return RunCtl(aArgs, m_out, m_err);
  }
  int Apply(const std::string& aFile, const std::vector<std::string>& aMore)
  {
    std::vector<std::string> args{ "apply",      aFile,
                                   "--platform", m_server.Url(),
                                   "--daemons",  m_daemon.Address() };
    args.insert(args.end(), aMore.begin(), aMore.end());
    return Run(args);
  }

  const std::string m_schema =
    std::string(WB_SOURCE_DIR) + "/schemas/association.proto";
  InMemoryPlatform m_store;
  FakePlatformServer m_server{ m_store };
  FakeAdmin m_daemon;
  std::ostringstream m_out;
  std::ostringstream m_err;
};

TEST_F(CtlTest, ApplyPrintsVersionAndDaemonsAndIsIdempotent)
{
  EXPECT_EQ(Apply(m_schema, { "--change-id", "c1" }), kExitOk) << m_err.str();
  EXPECT_THAT(m_out.str(), HasSubstr("accepted version=1 change_id=c1"));
  EXPECT_THAT(m_out.str(), HasSubstr(m_daemon.Address() + " in_force=yes"));
  EXPECT_EQ(Apply(m_schema, { "--change-id", "c1" }), kExitOk);
  EXPECT_THAT(m_out.str(), HasSubstr("accepted version=1"));
  EXPECT_EQ(Run({ "history", "--platform", m_server.Url() }), kExitOk);
  EXPECT_EQ(m_out.str().find("version=2"), std::string::npos);
  EXPECT_THAT(m_out.str(), HasSubstr("version=1 change_id=c1"));
}

// Guards against a first configuration that cannot be accepted because no
// daemon runs yet.
TEST_F(CtlTest, ApplyNeedsNoDaemon)
{
  EXPECT_EQ(Run({ "apply", m_schema, "--platform", m_server.Url() }), kExitOk);
  EXPECT_THAT(m_out.str(), HasSubstr("accepted version=1"));
}

// Guards against a report that a configuration is in force where it is not.
TEST_F(CtlTest, ApplyReportsAndWaitsForDaemons)
{
  m_daemon.m_refusals = 1;
  EXPECT_EQ(Apply(m_schema, {}), kExitOk);
  EXPECT_THAT(m_out.str(), HasSubstr("in_force=no"));
  m_daemon.m_refusals = 1;
  EXPECT_EQ(Apply(m_schema, { "--wait" }), kExitOk);
  EXPECT_THAT(m_out.str(), HasSubstr("in_force=yes"));
}

// Guards against a wrong schema that changes anything or whose report does not
// name file, field and reason.
TEST_F(CtlTest, WrongSchemaChangesNothing)
{
  const std::string file = testing::TempDir() + "/ctl_bad.proto";
  std::ofstream(file) << "syntax = \"proto3\"; package bad;";
  for (const bool apply : { false, true }) {
    EXPECT_EQ(apply ? Apply(file, {}) : Run({ "schema", "check", file }),
              kExitUsage);
    EXPECT_THAT(
      m_err.str(),
      HasSubstr("ctl_bad.proto: option (wagtailbend.deployment).name: "
                "must be set"));
  }
  EXPECT_EQ(m_store.TotalCount(), 0U);
}

// Guards against "rejected" for a change that may have been accepted.
TEST_F(CtlTest, OutageIsUnknownWhereTheChangeMayBeAccepted)
{
  m_store.SetFaults({ .kind = FaultKind::kDown });
  EXPECT_EQ(Apply(m_schema, {}), kExitFailure);
  EXPECT_THAT(m_err.str(), HasSubstr("rejected, nothing accepted"));
  EXPECT_EQ(Apply(m_schema, { "--change-id", "c1" }), kExitFailure);
  EXPECT_THAT(m_err.str(), HasSubstr("unknown"));
  m_store.SetFaults({ .kind = FaultKind::kRequestLost,
                      .operations = { Operation::kTransact } });
  EXPECT_EQ(Apply(m_schema, {}), kExitFailure);
  EXPECT_THAT(m_err.str(), HasSubstr("repeat with --change-id "));
}

TEST_F(CtlTest, DaemonCommands)
{
  const std::string address = m_daemon.Address();
  EXPECT_EQ(Run({ "status", "--daemons", address }), kExitOk);
  EXPECT_THAT(m_out.str(), HasSubstr("daemon=d1"));
  EXPECT_EQ(Run({ "status", "--daemons", "127.0.0.1:1," + address }),
            kExitFailure);
  EXPECT_THAT(m_out.str(), HasSubstr("daemon=d1"));
  EXPECT_EQ(Run({ "drain", "--daemon", address }), kExitOk);
  EXPECT_THAT(m_out.str(), HasSubstr("drain started"));
  EXPECT_EQ(Run({ "order", "t", "--daemon", address }), kExitFailure);
  EXPECT_THAT(m_err.str(), HasSubstr("not supported by this daemon"));
}

TEST_F(CtlTest, UsageErrorsExitWith2)
{
  const std::vector<std::vector<std::string>> wrong = {
    {},
    { "bogus" },
    { "schema" },
    { "schema", "check" },
    { "schema", "check", "a", "b" },
    { "status" },
    { "status", "--bogus" },
    { "apply", m_schema },
    { "history", "--platform", "ftp://x" },
    { "settings", "check", "/nonexistent" },
  };
  for (const auto& args : wrong) {
    EXPECT_EQ(Run(args), kExitUsage);
    EXPECT_NE(m_err.str(), "");
  }
  for (const auto& args : std::vector<std::vector<std::string>>{
         { "--help" },
         { "--version" },
         { "apply", "--help" },
         { "schema", "check", m_schema } }) {
    EXPECT_EQ(Run(args), kExitOk);
    EXPECT_NE(m_out.str(), "");
  }
}

} // namespace
} // namespace wagtailbend::ctl
