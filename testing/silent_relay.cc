#include "testing/silent_relay.h"

#include <array>
#include <memory>
#include <vector>

#include <asio/ip/address.hpp>
#include <asio/write.hpp>

namespace wagtailbend::testing {
namespace {

using asio::ip::tcp;

tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

} // namespace

class SilentRelay::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(tcp::socket aClient,
          asio::io_context& aContext,
          const std::atomic<uint32_t>& aMuteRequests)
    : m_client(std::move(aClient))
    , m_server(aContext)
    , m_muteRequests(aMuteRequests)
    , m_muteSeen(aMuteRequests.load())
  {
  }

  void Start(const tcp::endpoint& aTarget)
  {
    m_server.async_connect(
      aTarget, [self = shared_from_this()](const std::error_code& aCode) {
        if (aCode) {
          return;
        }
        self->m_client.set_option(tcp::no_delay(true));
        self->m_server.set_option(tcp::no_delay(true));
        self->Pass(self->m_client, self->m_server, self->m_up);
        self->Pass(self->m_server, self->m_client, self->m_down);
      });
  }

private:
  using Buffer = std::array<char, 65536>;

  void Pass(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](
        const std::error_code& aCode, size_t aBytes) {
        if (aCode) {
          self->Close();
          return;
        }
        if (self->m_muteRequests.load() != self->m_muteSeen) {
          // Reads and drops, so that neither end sees a full window.
          self->Pass(aFrom, aTo, aBuffer);
          return;
        }
        asio::async_write(aTo,
                          asio::buffer(aBuffer.data(), aBytes),
                          [self, &aFrom, &aTo, &aBuffer](
                            const std::error_code& aFailed, size_t) {
                            if (aFailed) {
                              self->Close();
                              return;
                            }
                            self->Pass(aFrom, aTo, aBuffer);
                          });
      });
  }

  void Close()
  {
    std::error_code ignored;
    m_client.close(ignored);
    m_server.close(ignored);
  }

  tcp::socket m_client;
  tcp::socket m_server;
  const std::atomic<uint32_t>& m_muteRequests;
  uint32_t m_muteSeen;
  Buffer m_up{};
  Buffer m_down{};
};

SilentRelay::SilentRelay(const std::string& aListen,
                         const std::string& aTarget,
                         const std::atomic<uint32_t>& aMuteRequests)
  : m_muteRequests(aMuteRequests)
  , m_target(EndpointOf(aTarget))
  , m_acceptor(m_context, EndpointOf(aListen))
{
  Accept();
  m_thread = std::thread([this] { m_context.run(); });
}

SilentRelay::~SilentRelay()
{
  m_context.stop();
  m_thread.join();
}

void
SilentRelay::Accept()
{
  m_acceptor.async_accept(
    [this](const std::error_code& aCode, tcp::socket aSocket) {
      if (!aCode) {
        std::make_shared<Session>(std::move(aSocket), m_context, m_muteRequests)
          ->Start(m_target);
      }
      Accept();
    });
}

} // namespace wagtailbend::testing
