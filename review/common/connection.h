// A blocking HTTP/1.1 connection of a stand-in, with the bytes in its hands.
//
//   Connection connection = Connection::To("127.0.4.1", 13000, 64 * 1024);
//   connection.SendAll(bytes);
//   std::optional<Head> head = connection.ReadHead(deadline);

#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailbend::review {

using Clock = std::chrono::steady_clock;

/// Start line and headers of a message. Names of headers are in lower case.
struct Head
{
  std::string startLine;
  std::map<std::string, std::string> headers;
  /// Bytes of the head, the empty line included.
  size_t bytes = 0;

  std::string Header(const std::string& aName) const;
  size_t ContentLength() const;
  /// Status of a response; 0 if this is none.
  int Status() const;
};

/// Owns a socket. Not thread-safe.
class Connection
{
public:
  Connection() = default;
  explicit Connection(int aDescriptor)
    : m_descriptor(aDescriptor)
  {
  }
  ~Connection() { Close(); }
  Connection(Connection&& aOther) noexcept;
  Connection& operator=(Connection&& aOther) noexcept;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// aReceiveBytes: size of the receive buffer; 0: the system's choice. The
  /// connection is not open if the peer refuses it.
  static Connection To(const std::string& aHost, int aPort, int aReceiveBytes);

  bool IsOpen() const { return m_descriptor >= 0; }
  int Descriptor() const { return m_descriptor; }
  bool SendAll(std::string_view aBytes) const;
  /// Returns nullopt at the end of the connection or at aEnd.
  std::optional<Head> ReadHead(Clock::time_point aEnd);
  /// Reads up to aCount bytes of a body. Returns what came before the end of
  /// the connection or aEnd.
  std::string ReadBody(size_t aCount, Clock::time_point aEnd);
  /// Reads and drops at most aMost bytes. Returns their number; 0: the
  /// connection ended or nothing came before aEnd.
  size_t Skip(size_t aMost, Clock::time_point aEnd);
  /// The peer closed or reset the connection.
  bool HasEnded() const { return m_ended; }
  void Close();

private:
  /// Receives some bytes into m_input. Returns false if none came.
  bool Receive(size_t aMost, Clock::time_point aEnd);

  int m_descriptor = -1;
  std::string m_input;
  bool m_ended = false;
};

/// Listens on an address. Returns a descriptor, or -1.
int
ListenOn(const std::string& aHost, int aPort);

} // namespace wagtailbend::review
