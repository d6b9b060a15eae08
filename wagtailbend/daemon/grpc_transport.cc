#include "wagtailbend/daemon/grpc_transport.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>

#include <grpcpp/alarm.h>
#include <grpcpp/client_context.h>
#include <grpcpp/support/client_callback.h>

#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::daemon {
namespace {

std::chrono::system_clock::time_point
SystemDeadline(Duration aFromNow)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(
           aFromNow);
}

/// What unary and streamed attempts have in common.
class AttemptBase
  : public Attempt
  , public std::enable_shared_from_this<AttemptBase>
{
public:
  AttemptBase(AttemptRequest aRequest, AttemptObserver& aObserver)
    : m_request(std::move(aRequest))
    , m_observer(aObserver)
    , m_slot(m_request.link->Current(m_request.work))
  {
    for (auto& [key, value] : m_request.metadata) {
      m_context.AddMetadata(key, value);
    }
    m_context.set_deadline(m_request.deadline);
  }

  void Cancel() override { m_context.TryCancel(); }

protected:
  /// Returns the time of the last sign of life that the attempt accepts.
  virtual TimePoint LastProgress() = 0;

  void NoteReceived() { m_slot->lastReceived.store(MonotonicNow()); }

  void ReportIds()
  {
    const MetadataMap& headers = m_context.GetServerInitialMetadata();
    m_observer.OnIds({ FindMetadata(headers, kRequestIdKey),
                       FindMetadata(headers, kAttemptIdKey) });
  }

  void ReportEnd(const grpc::Status& aStatus)
  {
    StopWatch();
    const MetadataMap& trailers = m_context.GetServerTrailingMetadata();
    AttemptEnd end;
    end.status = aStatus;
    end.ids = { FindMetadata(trailers, kRequestIdKey),
                FindMetadata(trailers, kAttemptIdKey) };
    end.error = FindMetadata(trailers, kErrorKey);
    end.run = FindMetadata(trailers, kRunKey);
    end.frames = FindMetadata(trailers, kFramesKey);
    end.checksum = FindMetadata(trailers, kChecksumKey);
    end.attemptsLeft = FindMetadata(trailers, kAttemptsLeftKey);
    end.threshold = FindMetadata(trailers, kThresholdKey);
    end.retryAfterMs = FindMetadata(trailers, kRetryAfterKey);
    // A response that completed despite the cancellation is a response.
    end.silent = m_silent && !aStatus.ok();
    end.unreachable =
      aStatus.error_code() == grpc::StatusCode::UNAVAILABLE &&
      end.ids.requestId.empty() &&
      m_slot->channel->GetState(false) == GRPC_CHANNEL_TRANSIENT_FAILURE;
    if (!end.ids.requestId.empty()) {
      NoteReceived();
    }
    m_observer.OnEnd(end);
  }

  /// Checks the progress again when the bound may have passed.
  void Watch()
  {
    if (m_request.progressBound == Duration{}) {
      return;
    }
    std::lock_guard lock(m_alarmMutex);
    if (m_done) {
      return;
    }
    Duration left = LastProgress() + m_request.progressBound - MonotonicNow();
    m_alarm = std::make_unique<grpc::Alarm>();
    m_alarm->Set(SystemDeadline(left), [weak = weak_from_this()](bool aOk) {
      if (auto self = weak.lock(); self && aOk) {
        self->CheckProgress();
      }
    });
  }

private:
  void CheckProgress()
  {
    if (MonotonicNow() < LastProgress() + m_request.progressBound) {
      Watch();
      return;
    }
    m_request.link->Replace(m_request.work, m_slot);
    if (m_request.cancelWhenSilent) {
      m_silent = true;
      Cancel();
    }
  }

  void StopWatch()
  {
    std::lock_guard lock(m_alarmMutex);
    m_done = true;
    m_alarm.reset();
  }

protected:
  AttemptRequest m_request;
  AttemptObserver& m_observer;
  std::shared_ptr<ChannelSlot> m_slot;
  grpc::ClientContext m_context;

private:
  std::atomic<bool> m_silent{ false };
  // Only the progress alarm and the end of the attempt compete for it.
  std::mutex m_alarmMutex;
  bool m_done = false;
  std::unique_ptr<grpc::Alarm> m_alarm;
};

class UnaryAttempt final
  : public AttemptBase
  , public grpc::ClientUnaryReactor
{
public:
  using AttemptBase::AttemptBase;

  void Prepare(const std::shared_ptr<UnaryAttempt>& aSelf)
  {
    m_self = aSelf;
    m_slot->stub.PrepareUnaryCall(
      &m_context, m_request.method, {}, &m_request.payload, &m_response, this);
  }

  void Begin() override
  {
    Watch();
    StartCall();
  }
  void ReadNext() override {}

  void OnDone(const grpc::Status& aStatus) override
  {
    std::shared_ptr<UnaryAttempt> self = std::move(m_self);
    if (aStatus.ok()) {
      NoteReceived();
      ReportIds();
      // gRPC reports a status without a message as success; passing on the
      // empty buffer would abort the process.
      if (m_response.Valid()) {
        m_observer.OnFrame(std::move(m_response));
      }
    }
    ReportEnd(aStatus);
  }

private:
  // A slow response is no sign of a silent connection while responses of other
  // requests arrive on it.
  TimePoint LastProgress() override
  {
    return std::max(m_start, m_slot->lastReceived.load());
  }

  TimePoint m_start = MonotonicNow();
  grpc::ByteBuffer m_response;
  std::shared_ptr<UnaryAttempt> m_self;
};

class StreamAttempt final
  : public AttemptBase
  , public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>
{
public:
  using AttemptBase::AttemptBase;

  void Prepare(const std::shared_ptr<StreamAttempt>& aSelf)
  {
    m_self = aSelf;
    m_slot->stub.PrepareBidiStreamingCall(
      &m_context, m_request.method, {}, this);
  }

  void Begin() override
  {
    // The hold delays OnDone until a read has failed, so that OnEnd never
    // overlaps a frame that the observer still passes on.
    AddHold();
    StartWriteLast(&m_request.payload, grpc::WriteOptions());
    Watch();
    StartCall();
  }

  void ReadNext() override
  {
    m_lastProgress.store(MonotonicNow());
    m_reading.store(true);
    StartRead(&m_frame);
  }

  void OnReadInitialMetadataDone(bool aOk) override
  {
    if (!aOk) {
      RemoveHold();
      return;
    }
    NoteReceived();
    ReportIds();
    ReadNext();
  }

  void OnReadDone(bool aOk) override
  {
    m_reading.store(false);
    if (!aOk) {
      RemoveHold();
      return;
    }
    NoteReceived();
    grpc::ByteBuffer frame;
    frame.Swap(&m_frame);
    m_observer.OnFrame(std::move(frame));
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    std::shared_ptr<StreamAttempt> self = std::move(m_self);
    ReportEnd(aStatus);
  }

private:
  // Time in which the caller takes no frame does not count.
  TimePoint LastProgress() override
  {
    return m_reading.load() ? m_lastProgress.load() : MonotonicNow();
  }

  grpc::ByteBuffer m_frame;
  std::atomic<TimePoint> m_lastProgress{ MonotonicNow() };
  // The wait for the response headers counts like a read.
  std::atomic<bool> m_reading{ true };
  std::shared_ptr<StreamAttempt> m_self;
};

template<typename AttemptType>
std::shared_ptr<Attempt>
PrepareAs(AttemptRequest aRequest, AttemptObserver& aObserver)
{
  auto attempt = std::make_shared<AttemptType>(std::move(aRequest), aObserver);
  attempt->Prepare(attempt);
  return attempt;
}

} // namespace

std::shared_ptr<Attempt>
GrpcTransport::Prepare(AttemptRequest aRequest, AttemptObserver& aObserver)
{
  return aRequest.streamed
           ? PrepareAs<StreamAttempt>(std::move(aRequest), aObserver)
           : PrepareAs<UnaryAttempt>(std::move(aRequest), aObserver);
}

} // namespace wagtailbend::daemon
