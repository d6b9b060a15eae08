#include "review/common/connection.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace wagtailbend::review {
namespace {

constexpr int kListenBacklog = 512;
constexpr size_t kReadBytes = 64UL * 1024;

sockaddr_in
AddressOf(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

int
NumberIn(std::string_view aText)
{
  int value = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), value);
  return value;
}

Head
ParseHead(std::string_view aText)
{
  Head head;
  head.bytes = aText.size();
  size_t end = aText.find("\r\n");
  head.startLine = aText.substr(0, end);
  for (size_t begin = end + 2; begin < aText.size(); begin = end + 2) {
    end = aText.find("\r\n", begin);
    const std::string_view line = aText.substr(begin, end - begin);
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](char aByte) {
      return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte - 'A' + 'a')
                                          : aByte;
    });
    std::string_view value = line.substr(colon + 1);
    while (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    head.headers.emplace(name, value);
  }
  return head;
}

} // namespace

std::string
Head::Header(const std::string& aName) const
{
  const auto found = headers.find(aName);
  return found == headers.end() ? "" : found->second;
}

size_t
Head::ContentLength() const
{
  return static_cast<size_t>(NumberIn(Header("content-length")));
}

int
Head::Status() const
{
  const size_t space = startLine.find(' ');
  return startLine.starts_with("HTTP/") && space != std::string::npos
           ? NumberIn(std::string_view(startLine).substr(space + 1))
           : 0;
}

Connection::Connection(Connection&& aOther) noexcept
  : m_descriptor(std::exchange(aOther.m_descriptor, -1))
  , m_input(std::move(aOther.m_input))
  , m_ended(aOther.m_ended)
{
}

Connection&
Connection::operator=(Connection&& aOther) noexcept
{
  std::swap(m_descriptor, aOther.m_descriptor);
  std::swap(m_input, aOther.m_input);
  std::swap(m_ended, aOther.m_ended);
  return *this;
}

Connection
Connection::To(const std::string& aHost, int aPort, int aReceiveBytes)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBytes > 0) {
    setsockopt(
      descriptor, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (connect(descriptor,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return {};
  }
  return Connection(descriptor);
}

bool
Connection::SendAll(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent =
      send(m_descriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool
Connection::Receive(size_t aMost, Clock::time_point aEnd)
{
  const auto left =
    std::chrono::ceil<std::chrono::milliseconds>(aEnd - Clock::now());
  pollfd request{ m_descriptor, POLLIN, 0 };
  if (m_ended ||
      poll(&request, 1, static_cast<int>(std::max<int64_t>(left.count(), 0))) <=
        0) {
    return false;
  }
  std::array<char, kReadBytes> buffer;
  const ssize_t count =
    recv(m_descriptor, buffer.data(), std::min(aMost, buffer.size()), 0);
  if (count <= 0) {
    m_ended = true;
    return false;
  }
  m_input.append(buffer.data(), static_cast<size_t>(count));
  return true;
}

std::optional<Head>
Connection::ReadHead(Clock::time_point aEnd)
{
  constexpr std::string_view kEnd = "\r\n\r\n";
  size_t end = m_input.find(kEnd);
  while (end == std::string::npos) {
    if (!Receive(kReadBytes, aEnd)) {
      return std::nullopt;
    }
    end = m_input.find(kEnd);
  }
  Head head = ParseHead(std::string_view(m_input).substr(0, end + kEnd.size()));
  m_input.erase(0, head.bytes);
  return head;
}

std::string
Connection::ReadBody(size_t aCount, Clock::time_point aEnd)
{
  while (m_input.size() < aCount && Receive(kReadBytes, aEnd)) {
  }
  std::string body = m_input.substr(0, aCount);
  m_input.erase(0, body.size());
  return body;
}

size_t
Connection::Skip(size_t aMost, Clock::time_point aEnd)
{
  if (m_input.empty() && !Receive(aMost, aEnd)) {
    return 0;
  }
  const size_t count = std::min(aMost, m_input.size());
  m_input.erase(0, count);
  return count;
}

void
Connection::Close()
{
  if (m_descriptor >= 0) {
    close(std::exchange(m_descriptor, -1));
  }
}

int
ListenOn(const std::string& aHost, int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(aHost, aPort);
  if (bind(descriptor,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, kListenBacklog) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

} // namespace wagtailbend::review
