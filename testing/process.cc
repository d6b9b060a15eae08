#include "testing/process.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "wagtailbend/base/rng.h"

namespace wagtailbend::testing {

namespace {
constexpr auto kPollInterval = std::chrono::milliseconds(5);
constexpr int kSignalStatusBase = 128;
} // namespace

Process::Process(std::vector<std::string> aCommand)
{
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2 failed");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  // A socket that the child inherits stays open when the test closes or resets
  // it, and its peer sees a silent connection instead.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (std::string& word : aCommand) {
    arguments.push_back(word.data());
  }
  arguments.push_back(nullptr);
  int failed = posix_spawn(
    &m_id, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(ends[1]);
  if (failed != 0) {
    close(ends[0]);
    throw std::runtime_error("cannot start " + aCommand[0]);
  }
  m_reader = std::thread([this, file = ends[0]] { ReadOutput(file); });
}

Process::~Process()
{
  if (!m_status) {
    kill(m_id, SIGKILL);
    int status = 0;
    waitpid(m_id, &status, 0);
  }
  m_reader.join();
}

void
Process::ReadOutput(int aFile)
{
  FILE* stream = fdopen(aFile, "r");
  char* line = nullptr;
  size_t size = 0;
  while (getline(&line, &size, stream) > 0) {
    std::lock_guard lock(m_mutex);
    m_lines.emplace_back(line);
    m_changed.notify_all();
  }
  free(line);
  fclose(stream);
  std::lock_guard lock(m_mutex);
  m_closed = true;
  m_changed.notify_all();
}

bool
Process::WaitForLine(const std::string& aText, std::chrono::milliseconds aLimit)
{
  auto end = std::chrono::steady_clock::now() + aLimit;
  std::unique_lock lock(m_mutex);
  size_t seen = 0;
  while (true) {
    for (; seen < m_lines.size(); ++seen) {
      if (m_lines[seen].find(aText) != std::string::npos) {
        return true;
      }
    }
    if (m_closed ||
        m_changed.wait_until(lock, end) == std::cv_status::timeout) {
      return false;
    }
  }
}

void
Process::Signal(int aSignal)
{
  if (!m_status) {
    kill(m_id, aSignal);
  }
}

std::optional<int>
Process::Wait(std::chrono::milliseconds aLimit)
{
  auto end = std::chrono::steady_clock::now() + aLimit;
  while (!m_status) {
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) == m_id) {
      m_status = WIFEXITED(status) ? WEXITSTATUS(status)
                                   : kSignalStatusBase + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() > end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return m_status;
}

std::string
Process::Output()
{
  std::lock_guard lock(m_mutex);
  std::string all;
  for (const std::string& line : m_lines) {
    all += line;
  }
  return all;
}

namespace {

bool
IsFree(uint16_t aPort)
{
  int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  bool isFree =
    bind(file, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
    0;
  close(file);
  return isFree;
}

} // namespace

std::string
FreeAddress()
{
  // Below the range of ephemeral ports: one of those can be taken by an
  // outgoing connection before the program under test listens on it.
  constexpr int kFirst = 10000;
  constexpr int kCount = 22000;
  static std::atomic<int> next{ static_cast<int>(MakeSeededRng()() % kCount) };
  for (int i = 0; i < kCount; ++i) {
    int port = kFirst + next.fetch_add(1) % kCount;
    if (IsFree(static_cast<uint16_t>(port))) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
  throw std::runtime_error("no free port");
}

ProcessUsage
UsageOf(pid_t aId)
{
  std::string folder = "/proc/" + std::to_string(aId);
  std::ifstream stat(folder + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  size_t close = text.rfind(')');
  if (close == std::string::npos) {
    return {};
  }
  std::istringstream fields(text.substr(close + 2));
  std::string field;
  // After the name: field 12 and 13 are user and system time in ticks.
  constexpr int kFieldsBeforeUserTime = 11;
  for (int i = 0; i < kFieldsBeforeUserTime; ++i) {
    fields >> field;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  std::ifstream statm(folder + "/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return { (user + system) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK)),
           resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20) };
}

size_t
PeakMemoryKb(pid_t aId)
{
  std::ifstream status("/proc/" + std::to_string(aId) + "/status");
  std::string word;
  while (status >> word && word != "VmHWM:") {
  }
  size_t kilobytes = 0;
  status >> kilobytes;
  return kilobytes;
}

size_t
OpenDescriptors(pid_t aId)
{
  std::error_code code;
  const std::filesystem::directory_iterator files(
    "/proc/" + std::to_string(aId) + "/fd", code);
  return code ? 0
              : static_cast<size_t>(std::distance(begin(files), end(files)));
}

} // namespace wagtailbend::testing
