#include "wagtailbend/filters/deadline_filter.h"

#include <gtest/gtest.h>

namespace wagtailbend::filters {
namespace {

using std::chrono::milliseconds;

struct Row
{
  const char* name;
  milliseconds caller;
  milliseconds method;
  milliseconds expected;
  bool rejected;
};

// Guards against deadlines that grow at a hop, and against starting requests
// whose caller no longer waits.
TEST(DeadlineFilter, ShortensAndRejects)
{
  const Row rows[] = {
    { "caller is shorter",
      milliseconds(50),
      milliseconds(1000),
      milliseconds(49),
      false },
    { "method is shorter",
      milliseconds(5000),
      milliseconds(1000),
      milliseconds(999),
      false },
    { "no time left",
      milliseconds(1),
      milliseconds(1000),
      milliseconds(0),
      true },
    { "already past",
      milliseconds(-5),
      milliseconds(1000),
      milliseconds(-6),
      true },
  };
  for (const Row& row : rows) {
    SCOPED_TRACE(row.name);
    TimePoint now{ std::chrono::seconds(100) };
    schema::Method method;
    method.deadline = row.method;
    RequestContext context;
    context.method = &method;
    context.deadline = now + row.caller;
    DeadlineFilter filter(milliseconds(1));
    auto error = filter.OnRequest(context, now);
    EXPECT_EQ(context.deadline, now + row.expected);
    ASSERT_EQ(error.has_value(), row.rejected);
    if (error) {
      EXPECT_EQ(error->kind, ErrorKind::kDeadlineTooShort);
    }
  }
}

} // namespace
} // namespace wagtailbend::filters
