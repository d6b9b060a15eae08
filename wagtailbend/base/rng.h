// The random number engine. Decision logic receives it as an argument, so that
// tests and benchmarks can reproduce a run from its seed.

#pragma once

#include <random>

namespace wagtailbend {

using Rng = std::mt19937_64;

/// Returns a uniformly distributed value in [0, aBound).
/// Precondition: aBound > 0. Not thread-safe: the caller owns aRng.
inline uint64_t
UniformBelow(Rng& aRng, uint64_t aBound)
{
  return std::uniform_int_distribution<uint64_t>(0, aBound - 1)(aRng);
}

/// Returns a uniformly distributed value in [0, 1). Not thread-safe: the caller
/// owns aRng.
inline double
UniformUnit(Rng& aRng)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(aRng);
}

/// Returns an engine seeded from the operating system. Thread-safe.
inline Rng
MakeSeededRng()
{
  std::random_device device;
  std::seed_seq seed{ device(), device(), device(), device() };
  return Rng(seed);
}

/// Returns the engine of the calling thread, seeded from the operating system.
/// For the traffic path only: decision logic receives its engine as an
/// argument.
inline Rng&
ThreadRng()
{
  thread_local Rng rng = MakeSeededRng();
  return rng;
}

} // namespace wagtailbend
