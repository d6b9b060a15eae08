#include "testing/fault_proxy.h"

#include <array>
#include <future>
#include <utility>
#include <vector>

#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace wagtailbend::testing {
namespace {

using asio::ip::tcp;

constexpr auto kDelay = std::chrono::milliseconds(100);

tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  const size_t colon = aAddress.rfind(':');
  return { asio::ip::make_address(aAddress.substr(0, colon)),
           static_cast<uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
}

} // namespace

class FaultProxy::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(FaultProxy& aProxy, tcp::socket aClient)
    : m_proxy(aProxy)
    , m_client(std::move(aClient))
    , m_server(aProxy.m_io)
  {
  }

  void Start()
  {
    m_server.async_connect(
      m_proxy.m_target,
      [self = shared_from_this()](const std::error_code& aCode) {
        if (aCode) {
          self->End(true);
          return;
        }
        std::error_code ignored;
        self->m_client.set_option(tcp::no_delay(true), ignored);
        self->m_server.set_option(tcp::no_delay(true), ignored);
        self->Pass(self->m_client, self->m_server, ProxyFault::kCutUp);
        self->Pass(self->m_server, self->m_client, ProxyFault::kCutDown);
      });
  }

  void Silence() { m_silent = true; }

  void End(bool aReset)
  {
    std::error_code ignored;
    if (aReset) {
      m_client.set_option(asio::socket_base::linger(true, 0), ignored);
      m_server.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    m_client.close(ignored);
    m_server.close(ignored);
    m_proxy.m_sessions.erase(shared_from_this());
  }

private:
  using Buffer = std::array<char, 16384>;

  void Pass(tcp::socket& aFrom, tcp::socket& aTo, ProxyFault aCut)
  {
    auto buffer = std::make_shared<Buffer>();
    aFrom.async_read_some(
      asio::buffer(*buffer),
      [self = shared_from_this(), &aFrom, &aTo, aCut, buffer](
        const std::error_code& aCode, size_t aBytes) {
        if (aCode) {
          self->End(false);
          return;
        }
        const ProxyFault fault = self->m_proxy.m_fault;
        if (self->m_proxy.m_answer && &aFrom == &self->m_client) {
          self->SendAnswer(std::string(buffer->data(), aBytes));
          self->Pass(aFrom, aTo, aCut);
          return;
        }
        if (self->m_silent || fault == aCut) {
          self->Pass(aFrom, aTo, aCut);
          return;
        }
        auto timer = std::make_shared<asio::steady_timer>(
          self->m_proxy.m_io,
          fault == ProxyFault::kDelay ? kDelay : std::chrono::milliseconds(0));
        timer->async_wait([self, &aFrom, &aTo, aCut, buffer, aBytes, timer](
                            const std::error_code&) {
          asio::async_write(aTo,
                            asio::buffer(buffer->data(), aBytes),
                            [self, &aFrom, &aTo, aCut, buffer](
                              const std::error_code& aFailed, size_t) {
                              if (aFailed) {
                                self->End(false);
                                return;
                              }
                              self->Pass(aFrom, aTo, aCut);
                            });
        });
      });
  }

  void SendAnswer(const std::string& aRequest)
  {
    auto bytes = std::make_shared<std::string>(m_proxy.m_answer(aRequest));
    asio::async_write(
      m_client,
      asio::buffer(*bytes),
      [self = shared_from_this(), bytes](const std::error_code& aCode, size_t) {
        if (aCode) {
          self->End(false);
        }
      });
  }

  FaultProxy& m_proxy;
  tcp::socket m_client;
  tcp::socket m_server;
  bool m_silent = false;
};

FaultProxy::FaultProxy(const std::string& aHost, const std::string& aTarget)
  : m_work(m_io.get_executor())
  , m_target(EndpointOf(aTarget))
  , m_acceptor(m_io, tcp::endpoint(asio::ip::make_address(aHost), 0))
  , m_endpoint(m_acceptor.local_endpoint())
  , m_address(aHost + ":" + std::to_string(m_endpoint.port()))
{
  Accept();
  m_thread = std::thread([this] { m_io.run(); });
}

FaultProxy::~FaultProxy()
{
  m_io.stop();
  m_thread.join();
}

void
FaultProxy::Set(ProxyFault aFault)
{
  m_fault = aFault;
  asio::post(m_io, [this, aFault] {
    const std::vector<std::shared_ptr<Session>> sessions(m_sessions.begin(),
                                                         m_sessions.end());
    for (const auto& session : sessions) {
      if (aFault == ProxyFault::kReset || aFault == ProxyFault::kRefuse) {
        session->End(true);
      } else if (aFault == ProxyFault::kSilent) {
        session->Silence();
      }
    }
    if (aFault == ProxyFault::kRefuse) {
      std::error_code ignored;
      m_acceptor.close(ignored);
    } else if (!m_acceptor.is_open()) {
      Listen();
    }
  });
}

void
FaultProxy::AnswerWith(Answer aAnswer)
{
  std::promise<void> taken;
  asio::post(m_io, [this, &aAnswer, &taken] {
    m_answer = std::move(aAnswer);
    taken.set_value();
  });
  taken.get_future().wait();
}

void
FaultProxy::Listen()
{
  m_acceptor.open(m_endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(m_endpoint);
  m_acceptor.listen();
  Accept();
}

void
FaultProxy::Accept()
{
  m_acceptor.async_accept(
    [this](const std::error_code& aCode, tcp::socket aSocket) {
      if (!aCode) {
        auto session = std::make_shared<Session>(*this, std::move(aSocket));
        m_sessions.insert(session);
        session->Start();
      }
      if (m_acceptor.is_open()) {
        Accept();
      }
    });
}

} // namespace wagtailbend::testing
