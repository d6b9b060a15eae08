#include "testing/fake_call.h"

#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include <sys/socket.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/fake_replies.h"
#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::testing {
namespace {

namespace wb = wagtailbend::daemon;

std::string
Flatten(const grpc::ByteBuffer& aBuffer)
{
  grpc::Slice slice;
  if (!aBuffer.DumpToSingleSlice(&slice).ok()) {
    return "";
  }
  return { reinterpret_cast<const char*>(slice.begin()), slice.size() };
}

grpc::ByteBuffer
BufferOf(const std::string& aBytes)
{
  grpc::Slice slice(aBytes);
  return { &slice, 1 };
}

/// Ends all connections, and after aLingerMs the process with its listener.
[[noreturn]] void
Crash(int64_t aLingerMs)
{
  constexpr int kMaxDescriptor = 1024;
  if (aLingerMs > 0) {
    for (int descriptor = 3; descriptor < kMaxDescriptor; ++descriptor) {
      sockaddr_storage peer{};
      socklen_t size = sizeof(peer);
      if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) ==
          0) {
        shutdown(descriptor, SHUT_RDWR);
      }
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(aLingerMs));
  }
  std::_Exit(3);
}

} // namespace

FakeCall::FakeCall(FakeTarget& aTarget,
                   grpc::GenericCallbackServerContext& aContext)
  : m_target(aTarget)
  , m_context(aContext)
  , m_descriptor(FindMethod(aContext.method()))
  , m_method(aTarget.m_schema.FindMethod(aContext.method()))
{
  m_target.m_reactors.fetch_add(1);
  m_target.m_received.fetch_add(1);
  const auto& metadata = aContext.client_metadata();
  m_ids = { std::string(wb::FindMetadata(metadata, wb::kRequestIdKey)),
            std::string(wb::FindMetadata(metadata, wb::kAttemptIdKey)) };
  StartRead(&m_request);
}

void
FakeCall::OnReadDone(bool aOk)
{
  if (!aOk || !m_descriptor || !m_method) {
    Fail(grpc::StatusCode::UNIMPLEMENTED, "", "not-run", m_context.method());
    return;
  }
  m_hasSlot = true;
  if (m_target.m_running.fetch_add(1) >= m_target.m_options.slots) {
    Fail(grpc::StatusCode::RESOURCE_EXHAUSTED,
         "overloaded",
         "not-run",
         "no free slot");
    return;
  }
  m_key = KeyOf(*m_descriptor, Flatten(m_request));
  RecordIfOrder();
  std::string crashKey = m_target.m_faults.CrashKey();
  if (!crashKey.empty() && crashKey == m_key) {
    Crash(m_target.m_faults.crashLingerMs);
  }
  if (m_target.m_faults.silent && Park()) {
    return;
  }
  Run();
}

// Recorded before any fault, so that the file counts every run that started.
void
FakeCall::RecordIfOrder()
{
  if (m_method->kind != schema::Kind::kOrder) {
    return;
  }
  const auto& metadata = m_context.client_metadata();
  nlohmann::json line = {
    { "method", m_method->path },
    { "key", m_key },
    { "request", m_ids.first },
    { "attempt", m_ids.second },
    { "ticket", std::string(wb::FindMetadata(metadata, wb::kTicketKey)) },
    { "order_key", std::string(wb::FindMetadata(metadata, wb::kOrderKeyKey)) }
  };
  m_target.RecordOrder(line.dump());
}

// Holds the call until it is cancelled. Returns false if it is already.
bool
FakeCall::Park()
{
  std::lock_guard lock(m_childMutex);
  m_parked = !m_cancelled;
  return m_parked;
}

void
FakeCall::Run()
{
  auto time = std::chrono::duration_cast<std::chrono::microseconds>(
    m_target.m_options.serviceTime * m_target.m_faults.slow.load());
  if (time.count() == 0) {
    CallNext();
    return;
  }
  m_alarm.Set(std::chrono::system_clock::now() + time,
              [this](bool) { CallNext(); });
}

void
FakeCall::CallNext()
{
  if (!m_target.m_egress || m_nextCall >= m_method->calls.size()) {
    Reply();
    return;
  }
  CallOne(m_method->calls[m_nextCall++]);
}

void
FakeCall::CallOne(const std::string& aPath)
{
  std::string path = aPath;
  if (path.front() != '/') {
    path.insert(path.begin(), '/');
  }
  {
    std::lock_guard lock(m_childMutex);
    m_child = std::make_unique<grpc::ClientContext>();
    m_child->set_deadline(m_context.deadline());
    m_child->AddMetadata(wb::kParentKey, m_ids.first);
    m_child->AddMetadata(wb::kTraceParentKey,
                         std::string(wb::FindMetadata(
                           m_context.client_metadata(), wb::kTraceParentKey)));
    if (m_cancelled) {
      m_child->TryCancel();
    }
  }
  m_childRequest = BufferOf(RequestFor(*FindMethod(path), m_key));
  m_target.m_egress->UnaryCall(
    m_child.get(),
    path,
    {},
    &m_childRequest,
    &m_childResponse,
    [this, path](const grpc::Status& aStatus) {
      if (!aStatus.ok()) {
        Fail(grpc::StatusCode::UNAVAILABLE,
             "",
             "",
             fmt::format("{}: {}", path, aStatus.error_message()));
        return;
      }
      const auto* method = FindMethod(path);
      if (Flatten(m_childResponse) != ReplyFor(*method, m_key, 0, 0)) {
        Fail(grpc::StatusCode::DATA_LOSS, "", "", path + ": wrong response");
        return;
      }
      CallNext();
    });
}

void
FakeCall::Reply()
{
  auto ids = m_target.IdsToEcho(m_ids);
  m_context.AddInitialMetadata(wb::kRequestIdKey, ids.first);
  m_context.AddInitialMetadata(wb::kAttemptIdKey, ids.second);
  m_target.m_served.fetch_add(1);
  if (m_descriptor->server_streaming()) {
    SendPage();
    return;
  }
  if (m_target.m_faults.cut) {
    Finish(grpc::Status::OK);
    return;
  }
  m_response = BufferOf(ReplyFor(*m_descriptor, m_key, 0, 0));
  // The work is done; OnDone may run after the caller's next request.
  ReleaseSlot();
  StartWriteAndFinish(&m_response, grpc::WriteOptions(), grpc::Status::OK);
}

void
FakeCall::SendPage()
{
  const FakeTargetOptions& options = m_target.m_options;
  uint32_t last = options.pages;
  if (m_page == last) {
    m_context.AddTrailingMetadata(wb::kFramesKey, m_checksum.FrameCountText());
    m_context.AddTrailingMetadata(wb::kChecksumKey, m_checksum.ChecksumText());
    Finish(grpc::Status::OK);
    return;
  }
  std::string page = ReplyFor(*m_descriptor, m_key, m_page, options.pageBytes);
  bool again = m_target.m_faults.duplicate && m_page == 1 && !m_duplicated;
  if (again) {
    m_duplicated = true;
  } else {
    m_checksum.BeginFrame(page.size());
    m_checksum.AddFrameBytes(page);
    ++m_page;
  }
  if (m_target.m_faults.cut && m_page == last) {
    m_context.AddTrailingMetadata(wb::kFramesKey, m_checksum.FrameCountText());
    m_context.AddTrailingMetadata(wb::kChecksumKey, m_checksum.ChecksumText());
    Finish(grpc::Status::OK);
    return;
  }
  m_response = BufferOf(page);
  StartWrite(&m_response);
}

void
FakeCall::OnWriteDone(bool aOk)
{
  if (!aOk) {
    Finish(grpc::Status::CANCELLED);
    return;
  }
  // The service time of a stream is spent before each page.
  auto time = std::chrono::duration_cast<std::chrono::microseconds>(
    m_target.m_options.serviceTime * m_target.m_faults.slow.load());
  if (time.count() == 0) {
    SendPage();
    return;
  }
  m_alarm.Set(std::chrono::system_clock::now() + time,
              [this](bool) { SendPage(); });
}

void
FakeCall::Fail(grpc::StatusCode aCode,
               const char* aError,
               const char* aRun,
               const std::string& aDetail)
{
  m_context.AddTrailingMetadata(wb::kRequestIdKey, m_ids.first);
  m_context.AddTrailingMetadata(wb::kAttemptIdKey, m_ids.second);
  if (*aError != '\0') {
    m_context.AddTrailingMetadata(wb::kErrorKey, aError);
    m_context.AddTrailingMetadata(wb::kRunKey, aRun);
  }
  Finish({ aCode, aDetail });
}

void
FakeCall::OnCancel()
{
  bool parked = false;
  {
    std::lock_guard lock(m_childMutex);
    m_cancelled = true;
    parked = m_parked;
    if (m_child) {
      m_child->TryCancel();
    }
  }
  if (parked) {
    Finish(grpc::Status::CANCELLED);
  }
}

void
FakeCall::ReleaseSlot()
{
  if (std::exchange(m_hasSlot, false)) {
    m_target.m_running.fetch_sub(1);
  }
}

void
FakeCall::OnDone()
{
  ReleaseSlot();
  FakeTarget& target = m_target;
  delete this;
  target.m_reactors.fetch_sub(1);
}

} // namespace wagtailbend::testing
