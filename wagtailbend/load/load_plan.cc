#include "wagtailbend/load/load_plan.h"

#include <charconv>
#include <set>

#include <fmt/format.h>

namespace wagtailbend::load {
namespace {

std::vector<std::string_view>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string_view> parts;
  size_t start = 0;
  while (start <= aText.size()) {
    const size_t end = std::min(aText.find(aSeparator, start), aText.size());
    parts.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::optional<double>
ParsePositive(std::string_view aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || !(value > 0)) {
    return std::nullopt;
  }
  return value;
}

Error
InvalidPartError(std::string_view aPart, std::string_view aReason)
{
  return Error{ ErrorKind::kInvalidRequest,
                fmt::format("\"{}\": {}", aPart, aReason) };
}

} // namespace

Result<std::vector<Phase>>
ParsePhases(std::string_view aText)
{
  std::vector<Phase> phases;
  std::set<std::string_view> names;
  for (const std::string_view part : Split(aText, ',')) {
    const auto fields = Split(part, ':');
    if (fields.size() != 3 || fields[0].empty()) {
      return InvalidPartError(part, "a phase must be name:seconds:factor");
    }
    const auto seconds = ParsePositive(fields[1]);
    const auto factor = ParsePositive(fields[2]);
    if (!seconds || !factor) {
      return InvalidPartError(part,
                              "seconds and factor must be greater than 0");
    }
    if (!names.insert(fields[0]).second) {
      return InvalidPartError(part, "duplicate phase name");
    }
    phases.push_back({ std::string(fields[0]),
                       std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(*seconds)),
                       *factor });
  }
  return phases;
}

Result<std::vector<MixEntry>>
ParseMix(std::string_view aText, const schema::Schema& aSchema)
{
  std::vector<MixEntry> mix;
  for (const std::string_view part : Split(aText, ',')) {
    const size_t equalsSign = part.find('=');
    const auto weight = ParsePositive(
      equalsSign == std::string_view::npos ? "1" : part.substr(equalsSign + 1));
    if (!weight) {
      return InvalidPartError(part, "the weight must be greater than 0");
    }
    const schema::Method* method =
      aSchema.FindMethod(fmt::format("/{}", part.substr(0, equalsSign)));
    if (!method) {
      return InvalidPartError(part, "the method is not declared in the schema");
    }
    mix.push_back({ *method, *weight });
  }
  return mix;
}

std::vector<Arrival>
PlanArrivals(const std::vector<Phase>& aPhases,
             const std::vector<MixEntry>& aMix,
             double aRate,
             Rng& aRng)
{
  std::vector<double> weights;
  weights.reserve(aMix.size());
  for (const MixEntry& entry : aMix) {
    weights.push_back(entry.weight);
  }
  std::discrete_distribution<size_t> methodDistribution(weights.begin(),
                                                        weights.end());
  std::vector<Arrival> arrivals;
  Duration phaseStart{};
  for (const Phase& phase : aPhases) {
    std::exponential_distribution<double> interarrivalSeconds(aRate *
                                                              phase.rateFactor);
    const Duration phaseEnd = phaseStart + phase.length;
    Duration at = phaseStart;
    while (true) {
      at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(interarrivalSeconds(aRng)));
      if (at >= phaseEnd) {
        break;
      }
      arrivals.push_back({ at, methodDistribution(aRng) });
    }
    phaseStart = phaseEnd;
  }
  return arrivals;
}

} // namespace wagtailbend::load
