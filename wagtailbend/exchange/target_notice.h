// Reads what a target says about itself from the headers of a response.
//
//   condition.OnResponse(ReadTargetNotice(response.headers, names), ...);

#pragma once

#include "wagtailbend/http1/message.h"
#include "wagtailbend/http1/protocol_names.h"
#include "wagtailbend/targets/target_condition.h"

namespace wagtailbend::exchange {

/// Thread-safe. Names that are empty are not looked up.
targets::TargetNotice
ReadTargetNotice(const http1::Headers& aHeaders,
                 const http1::ProtocolNames& aNames);

} // namespace wagtailbend::exchange
