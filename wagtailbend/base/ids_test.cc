#include "wagtailbend/base/ids.h"

#include <gtest/gtest.h>

namespace wagtailbend {
namespace {

// Guards against IDs that change when they pass between processes as text.
TEST(IdsTest, TextFormsRoundTrip)
{
  Rng rng(1);
  const RequestId request = RequestId::Random(rng);
  EXPECT_EQ(RequestId::Parse(request.ToString()), request);
  const AttemptId attempt = AttemptId::Random(rng);
  EXPECT_EQ(AttemptId::Parse(attempt.ToString()), attempt);
  const DaemonId daemon{ "balances-1", rng() };
  EXPECT_EQ(DaemonId::Parse(daemon.ToString()), daemon);
}

// Guards against malformed metadata that is accepted as a valid ID, such as a
// sign or a wrong number of digits.
TEST(IdsTest, MalformedTextIsRejected)
{
  for (const char* text : { "",
                            "xyz",
                            "0123456789abcdeg",
                            "0123456789abcde",
                            "+123456789abcdef",
                            "-123456789abcdef" }) {
    EXPECT_EQ(ParseHex(text), std::nullopt) << text;
  }
  EXPECT_EQ(RequestId::Parse("0123456789abcdef"), std::nullopt);
  EXPECT_EQ(DaemonId::Parse("/0123456789abcdef"), std::nullopt);
  EXPECT_EQ(DaemonId::Parse("name"), std::nullopt);
}

} // namespace
} // namespace wagtailbend
