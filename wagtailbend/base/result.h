// Result<T> holds a value or an Error.
//
//   Result<Schema> schema = ParseSchema(bytes);
//   if (const Error* error = GetError(schema)) {
//     return *error;
//   }
//   Use(GetValue(schema));

#pragma once

#include <utility>
#include <variant>

#include "wagtailbend/base/error.h"

namespace wagtailbend {

template<typename T>
using Result = std::variant<T, Error>;

/// The value type of operations that succeed without a value.
using Done = std::monostate;

/// Returns true if aResult holds a value. Thread-safe for const use.
template<typename T>
bool
IsOk(const Result<T>& aResult)
{
  return aResult.index() == 0;
}

/// Returns the error, or nullptr if aResult holds a value. The pointer is valid
/// for the lifetime of aResult.
template<typename T>
const Error*
GetError(const Result<T>& aResult)
{
  return std::get_if<Error>(&aResult);
}

/// Returns the value. Precondition: IsOk(aResult).
template<typename T>
const T&
GetValue(const Result<T>& aResult)
{
  return std::get<0>(aResult);
}

/// Moves the value out. Precondition: IsOk(aResult).
template<typename T>
T
TakeValue(Result<T>&& aResult)
{
  return std::get<0>(std::move(aResult));
}

} // namespace wagtailbend
