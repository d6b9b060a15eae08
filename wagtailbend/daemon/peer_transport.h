// How attempts reach another process. The traffic path knows only this
// interface, so that the transport can be replaced after measurement.
//
//   std::shared_ptr<Attempt> attempt =
//     transport.Prepare(std::move(request), observer);
//   attempt->Begin();

#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <grpcpp/support/byte_buffer.h>
#include <grpcpp/support/status.h>

#include "wagtailbend/daemon/channel_pool.h"

namespace wagtailbend::daemon {

/// One attempt, complete before it begins.
struct AttemptRequest
{
  std::shared_ptr<PeerLink> link;
  WorkClass work = WorkClass::kShort;
  /// gRPC path.
  std::string method;
  bool streamed = false;
  std::vector<std::pair<const char*, std::string>> metadata;
  grpc::ByteBuffer payload;
  std::chrono::system_clock::time_point deadline;
  /// Longest wait for a frame of a streamed response, or for any response on
  /// the connection of a unary call; zero: no bound. The connection is replaced
  /// when it passes.
  Duration progressBound{};
  /// The attempt ends when the bound passes. Otherwise only later attempts use
  /// the new connection.
  bool cancelWhenSilent = true;
};

/// Ids that the callee echoed; empty if missing.
struct EchoedIds
{
  std::string_view requestId;
  std::string_view attemptId;
};

/// The end of an attempt. Views are valid during OnEnd only.
struct AttemptEnd
{
  grpc::Status status;
  EchoedIds ids;
  std::string_view error;
  std::string_view run;
  std::string_view frames;
  std::string_view checksum;
  std::string_view attemptsLeft;
  std::string_view threshold;
  /// When a rejected request may be sent again.
  std::string_view retryAfterMs;
  /// Time in the queue of the local target.
  Duration queueTime{};
  /// The connection refused or could not be opened.
  bool unreachable = false;
  /// No frame arrived within the progress bound; the connection was replaced.
  bool silent = false;
};

/// Receives what one attempt delivers, one call at a time, on any thread.
class AttemptObserver
{
public:
  virtual ~AttemptObserver() = default;

  /// Called at most once, before the first frame.
  virtual void OnIds(const EchoedIds& aIds) = 0;
  /// A frame of the response. For a streamed response the next frame arrives
  /// only after Attempt::ReadNext().
  virtual void OnFrame(grpc::ByteBuffer&& aFrame) = 0;
  /// Called exactly once, last.
  virtual void OnEnd(const AttemptEnd& aEnd) = 0;
};

/// A running attempt. It keeps itself alive until OnEnd has returned.
class Attempt
{
public:
  virtual ~Attempt() = default;

  /// Sends the request. Called once.
  virtual void Begin() = 0;
  /// Asks for the next frame of a streamed response. Precondition: OnFrame was
  /// called and no read is outstanding.
  virtual void ReadNext() = 0;
  /// Ends the attempt early; OnEnd still follows. Thread-safe, also before
  /// Begin.
  virtual void Cancel() = 0;
};

/// Thread-safe.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;

  /// aObserver must live until OnEnd has returned. Does not call aObserver.
  virtual std::shared_ptr<Attempt> Prepare(AttemptRequest aRequest,
                                           AttemptObserver& aObserver) = 0;
};

} // namespace wagtailbend::daemon
