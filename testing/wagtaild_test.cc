// Exit status and messages of the daemon's command line.

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "testing/process.h"

namespace wagtailbend::testing {
namespace {

using std::chrono::seconds;

const std::string kProgram = std::string(WB_BIN_DIR) + "/wagtaild";

class WagtaildTest : public ::testing::Test
{
protected:
  WagtaildTest()
  {
    m_settings = { { "name", "vm1" },
                   { "failure_domain", "ranong" },
                   { "listen",
                     { { "customer", FreeAddress() },
                       { "peer", FreeAddress() },
                       { "egress", FreeAddress() },
                       { "admin", FreeAddress() },
                       { "gossip", FreeAddress() },
                       { "http", FreeAddress() } } },
                   { "schema_file",
                     std::string(WB_SOURCE_DIR) +
                       "/schemas/association.proto" } };
  }

  ~WagtaildTest() override
  {
    std::error_code ignored;
    std::filesystem::remove(m_file, ignored);
  }

  std::vector<std::string> Command(const char* aMore = nullptr)
  {
    std::ofstream(m_file) << m_settings.dump();
    std::vector<std::string> command = { kProgram, "--settings", m_file };
    if (aMore) {
      command.emplace_back(aMore);
    }
    return command;
  }

  nlohmann::json m_settings;
  std::string m_file =
    ::testing::TempDir() + "wagtaild-" + std::to_string(getpid()) + ".json";
};

TEST_F(WagtaildTest, HelpAndVersion)
{
  for (const char* option : { "--help", "--version" }) {
    Process process({ kProgram, option });
    EXPECT_EQ(process.Wait(seconds(5)), 0);
    EXPECT_TRUE(process.WaitForLine("agtail", seconds(1)));
  }
}

// Guards against a daemon that starts with wrong settings, and against
// reporting a run-time failure as wrong usage.
TEST_F(WagtaildTest, ExitStatusTellsTheCause)
{
  EXPECT_EQ(Process({ kProgram }).Wait(seconds(5)), 2);
  EXPECT_EQ(Process({ kProgram, "--no-such" }).Wait(seconds(5)), 2);
  EXPECT_EQ(Process(Command("--check-settings")).Wait(seconds(5)), 0);
  m_settings["schema_file"] = "/nonexistent.proto";
  EXPECT_EQ(Process(Command("--check-settings")).Wait(seconds(5)), 2);
  EXPECT_EQ(Process(Command()).Wait(seconds(5)), 2);
  m_settings["listen"]["customer"] = "nowhere";
  EXPECT_EQ(Process(Command("--check-settings")).Wait(seconds(5)), 2);
}

// Guards against a daemon that ends when its settings are to be read again.
TEST_F(WagtaildTest, SurvivesAReload)
{
  Process process(Command());
  ASSERT_TRUE(process.WaitForLine("event=ready", seconds(5)));
  process.Signal(SIGHUP);
  EXPECT_EQ(process.Wait(seconds(1)), std::nullopt);
  process.Signal(SIGTERM);
  EXPECT_EQ(process.Wait(seconds(5)), 0);
}

// Guards against two daemons that share an address without noticing it.
TEST_F(WagtaildTest, AddressInUseIsARunTimeFailure)
{
  Process first(Command());
  ASSERT_TRUE(first.WaitForLine("event=ready", seconds(5)));
  EXPECT_EQ(Process(Command()).Wait(seconds(5)), 1);
  first.Signal(SIGTERM);
  EXPECT_EQ(first.Wait(seconds(5)), 0);
}

} // namespace
} // namespace wagtailbend::testing
