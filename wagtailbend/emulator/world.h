// A deployment and its load, as input of the emulator.
//
//   Result<World> world = ReadWorld(json);

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::emulator {

struct Domain
{
  std::string name;
  std::string region;

  bool operator==(const Domain&) const = default;
};

struct Service
{
  std::string name;
  /// Targets in each failure domain.
  uint32_t perDomain = 1;
  uint32_t slots = 10;
  /// Work takes this many times as long; given to targets in turn.
  std::vector<double> speeds{ 1.0 };
  /// Above this share of busy slots work takes kneeFactor times as long.
  double knee = 2.0;
  double kneeFactor = 1.0;

  bool operator==(const Service&) const = default;
};

struct Call
{
  /// Index of the route that is called.
  size_t route = 0;
  uint32_t times = 1;

  bool operator==(const Call&) const = default;
};

struct RouteLoad
{
  std::string name;
  size_t service = 0;
  bool idempotent = true;
  uint32_t priority = 2;
  Duration work = std::chrono::milliseconds(50);
  Duration objective = std::chrono::seconds(1);
  Duration deadline = std::chrono::seconds(5);
  /// Zero: none.
  Duration timeout{};
  /// Made one after the other before the work.
  std::vector<Call> calls;
  /// Customers' requests per second over all domains; 0: only called.
  double perSecond = 0;
  /// Value of an answer in time; 0.3 of it counts when late.
  double value = 1;

  bool operator==(const RouteLoad&) const = default;
};

/// The rate of all requests is multiplied by factor from begin to end.
struct Surge
{
  Duration begin{};
  Duration end{};
  double factor = 1;

  bool operator==(const Surge&) const = default;
};

/// From begin to end the targets of a service reject this share of what arrives
/// without running it, though they have free slots.
struct Shedding
{
  size_t service = 0;
  Duration begin{};
  Duration end{};
  double share = 0;

  bool operator==(const Shedding&) const = default;
};

/// From begin to end the first targets of a service, this share of them, accept
/// only so many requests per second each.
struct RateLimit
{
  size_t service = 0;
  Duration begin{};
  Duration end{};
  double perSecond = 0;
  double share = 1;

  bool operator==(const RateLimit&) const = default;
};

/// A request of a route that crashes each target that runs it, and is sent
/// again through one VM after the other.
struct CrashingRequest
{
  size_t route = 0;
  Duration begin{};
  Duration interval = std::chrono::milliseconds(700);
  uint32_t times = 1;
  /// Time from a crash until the target serves again.
  Duration restart = std::chrono::milliseconds(2500);

  bool operator==(const CrashingRequest&) const = default;
};

struct World
{
  std::vector<Domain> domains;
  std::vector<Service> services;
  std::vector<RouteLoad> routes;
  std::vector<Surge> surges;
  std::vector<Shedding> sheddings;
  std::vector<RateLimit> limits;
  std::vector<CrashingRequest> crashes;
  /// One-way delays.
  Duration betweenDomains = std::chrono::milliseconds(1);
  Duration betweenRegions = std::chrono::milliseconds(30);
  /// Amplitude and period of a slow change of the rate.
  double swing = 0;
  Duration swingPeriod = std::chrono::seconds(15);
  Duration length = std::chrono::seconds(30);
  /// Times that a customer comes back after a rejection or failure.
  uint32_t returns = 1;

  bool operator==(const World&) const = default;
};

/// Reads JSON with comments. Error kind: kInvalidRequest. Thread-safe.
Result<World>
ReadWorld(const std::string& aJson);

} // namespace wagtailbend::emulator
