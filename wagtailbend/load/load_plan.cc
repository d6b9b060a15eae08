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
Invalid(std::string_view aPart, std::string_view aReason)
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
      return Invalid(part, "a phase is name:seconds:factor");
    }
    const auto seconds = ParsePositive(fields[1]);
    const auto factor = ParsePositive(fields[2]);
    if (!seconds || !factor) {
      return Invalid(part, "seconds and factor must be numbers above 0");
    }
    if (!names.insert(fields[0]).second) {
      return Invalid(part, "the name of a phase is used twice");
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
    const size_t equals = part.find('=');
    const auto weight = ParsePositive(
      equals == std::string_view::npos ? "1" : part.substr(equals + 1));
    if (!weight) {
      return Invalid(part, "the weight must be a number above 0");
    }
    const schema::Method* method =
      aSchema.FindMethod(fmt::format("/{}", part.substr(0, equals)));
    if (!method) {
      return Invalid(part, "the schema has no such method");
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
  std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
  std::vector<Arrival> arrivals;
  Duration phaseStart{};
  for (const Phase& phase : aPhases) {
    std::exponential_distribution<double> gap(aRate * phase.factor);
    const Duration phaseEnd = phaseStart + phase.length;
    Duration at = phaseStart;
    while (true) {
      at += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(gap(aRng)));
      if (at >= phaseEnd) {
        break;
      }
      arrivals.push_back({ at, pick(aRng) });
    }
    phaseStart = phaseEnd;
  }
  return arrivals;
}

} // namespace wagtailbend::load
