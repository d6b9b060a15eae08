#include "wagtailbend/filters/filter.h"

#include <gtest/gtest.h>

namespace wagtailbend::filters {
namespace {

class RecordingFilter final : public Filter
{
public:
  RecordingFilter(std::string aName,
                  std::vector<std::string>& aLog,
                  std::optional<Error> aError = std::nullopt)
    : m_name(std::move(aName))
    , m_log(aLog)
    , m_error(std::move(aError))
  {
  }

  std::optional<Error> OnRequest(RequestContext& /*aContext*/,
                                 TimePoint /*aNow*/) override
  {
    m_log.push_back("request " + m_name);
    return m_error;
  }

  void OnResponse(RequestContext& /*aContext*/,
                  const Outcome& /*aOutcome*/,
                  TimePoint /*aNow*/) override
  {
    m_log.push_back("response " + m_name);
  }

private:
  std::string m_name;
  std::vector<std::string>& m_log;
  std::optional<Error> m_error;
};

// Guards against OnResponse calls to filters that did not run, which would
// release resources they never acquired, and against missing calls to filters
// that did run, when a later filter rejects the request.
TEST(FilterChain, ReverseOrderAndOnlyFiltersThatRan)
{
  std::vector<std::string> log;
  FilterChain chain;
  chain.Add(std::make_unique<RecordingFilter>("a", log));
  chain.Add(std::make_unique<RecordingFilter>(
    "b", log, Error{ ErrorKind::kOverloaded, "full" }));
  chain.Add(std::make_unique<RecordingFilter>("c", log));
  RequestContext context;
  size_t entered = 0;
  auto error = chain.OnRequest(context, TimePoint{}, entered);
  ASSERT_TRUE(error.has_value());
  EXPECT_EQ(error->kind, ErrorKind::kOverloaded);
  chain.OnResponse(context, Outcome{ error }, TimePoint{}, entered);
  EXPECT_EQ(log,
            (std::vector<std::string>{
              "request a", "request b", "response b", "response a" }));
}

// Guards against filters that are skipped, or that run in the wrong order, for
// a request that is not rejected.
TEST(FilterChain, AllFiltersRunWithoutError)
{
  std::vector<std::string> log;
  FilterChain chain;
  chain.Add(std::make_unique<RecordingFilter>("a", log));
  chain.Add(std::make_unique<RecordingFilter>("b", log));
  RequestContext context;
  size_t entered = 0;
  EXPECT_FALSE(chain.OnRequest(context, TimePoint{}, entered).has_value());
  chain.OnResponse(context, Outcome{}, TimePoint{}, entered);
  EXPECT_EQ(log,
            (std::vector<std::string>{
              "request a", "request b", "response b", "response a" }));
}

} // namespace
} // namespace wagtailbend::filters
