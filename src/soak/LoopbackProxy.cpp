// Part of stepledge, under the Apache License v2.0. See LICENSE.
// SPDX-License-Identifier: Apache-2.0

#include "soak/LoopbackProxy.h"

#include <array>
#include <future>
#include <utility>
#include <vector>

namespace stepledge::soak {

namespace {

using asio::ip::tcp;

/// How often a silenced connection looks whether it may go on.
constexpr std::chrono::milliseconds HoldTime(20);
/// What a narrow link takes in ahead of its credit, in bytes, so that its
/// sender is held up as by a full window; the system's own buffers take some
/// MB.
constexpr int NarrowBuffer = 32768;
/// More than a queue of length 0 takes.
constexpr int QueueFillers = 3;

void closeWithReset(tcp::socket &socket) {
  std::error_code ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

} // namespace

class LoopbackProxy::Pipe : public std::enable_shared_from_this<Pipe> {
public:
  Pipe(asio::io_context &context, tcp::socket caller,
       const std::shared_ptr<State> &state)
      : Caller(std::move(caller)), Target(context), Owner(state),
        Luck(std::uniform_real_distribution<double>(0, 1)(state->Random)),
        ToTarget{Caller, Target, asio::steady_timer(context), true, {}, {}},
        ToCaller{Target, Caller, asio::steady_timer(context), false, {}, {}} {}

  void start(const tcp::endpoint &target) {
    Target.async_connect(
        target, [self = shared_from_this()](std::error_code ec) {
          if (ec)
            return self->close();
          std::error_code ignored;
          self->Caller.set_option(tcp::no_delay(true), ignored);
          self->Target.set_option(tcp::no_delay(true), ignored);
          self->read(self->ToTarget);
          self->read(self->ToCaller);
        });
  }

  /// Neither side hears of the other any more, nor of its end.
  void fallSilent() { IsDead = true; }
  bool isOf(const std::string &ip) const {
    return FirstBytes.find(ip) != std::string::npos;
  }

  void close() {
    closeWithReset(Caller);
    closeWithReset(Target);
    if (const auto state = Owner.lock())
      state->Pipes.erase(shared_from_this());
  }

private:
  struct Way {
    tcp::socket &From;
    tcp::socket &To;
    asio::steady_timer Timer;
    bool IsToTarget;
    std::shared_ptr<TokenBucket> Bucket;
    std::array<char, 8192> Chunk{};
  };

  bool isSilent(const Way &way) const {
    const auto state = Owner.lock();
    if (!state || Luck >= state->Harm.Share)
      return false;
    return way.IsToTarget ? state->Harm.IsSilentToTarget
                          : state->Harm.IsSilentToCaller;
  }

  /// Reads once there is credit.
  void read(Way &way) {
    const auto time = way.Bucket ? way.Bucket->waitAt(TokenBucket::Clock::now())
                                 : TokenBucket::Clock::duration{};
    if (time <= TokenBucket::Clock::duration{})
      return readNow(way);
    way.Timer.expires_after(time);
    way.Timer.async_wait([self = shared_from_this(), &way](std::error_code ec) {
      if (!ec)
        self->read(way);
    });
  }

  void readNow(Way &way) {
    way.From.async_read_some(
        asio::buffer(way.Chunk),
        [self = shared_from_this(), &way](std::error_code ec, std::size_t n) {
          if (self->IsDead)
            return;
          if (ec)
            return self->end();
          self->charge(way, n);
          const auto state = self->Owner.lock();
          const bool isHarmed = state && self->Luck < state->Harm.Share;
          self->wait(way, n,
                     isHarmed ? state->Harm.Delay
                              : std::chrono::milliseconds(0));
        });
  }

  void charge(Way &way, std::size_t n) {
    if (way.IsToTarget && FirstBytes.empty()) {
      FirstBytes.assign(way.Chunk.data(), n);
      chooseRate(FirstBytes);
    }
    if (way.Bucket)
      way.Bucket->take(TokenBucket::Clock::now(), n);
  }

  void chooseRate(std::string_view firstBytes) {
    const auto state = Owner.lock();
    if (!state || !state->RateOf)
      return;
    const auto rate = state->RateOf(firstBytes);
    ToTarget.Bucket = rate.ToTarget;
    ToCaller.Bucket = rate.ToCaller;
    const asio::socket_base::receive_buffer_size size(NarrowBuffer);
    std::error_code ec;
    if (rate.ToTarget)
      Caller.set_option(size, ec);
    if (rate.ToCaller)
      Target.set_option(size, ec);
  }

  void wait(Way &way, std::size_t n, std::chrono::milliseconds time) {
    if (time.count() == 0 && !isSilent(way))
      return write(way, n);
    way.Timer.expires_after(isSilent(way) ? HoldTime : time);
    way.Timer.async_wait(
        [self = shared_from_this(), &way, n](std::error_code ec) {
          if (ec || self->IsDead)
            return;
          if (self->isSilent(way))
            return self->wait(way, n, HoldTime);
          self->write(way, n);
        });
  }

  void write(Way &way, std::size_t n) {
    asio::async_write(
        way.To, asio::buffer(way.Chunk.data(), n),
        [self = shared_from_this(), &way](std::error_code ec, std::size_t) {
          if (self->IsDead)
            return;
          if (ec)
            return self->end();
          self->read(way);
        });
  }

  /// One end has gone, so the other goes too, after what is under way.
  void end() {
    std::error_code ec;
    if (!std::exchange(IsEnding, true)) {
      Caller.shutdown(tcp::socket::shutdown_send, ec);
      Target.shutdown(tcp::socket::shutdown_send, ec);
      return;
    }
    close();
  }

  tcp::socket Caller;
  tcp::socket Target;
  std::weak_ptr<State> Owner;
  double Luck;
  bool IsEnding = false;
  bool IsDead = false;
  std::string FirstBytes;
  Way ToTarget;
  Way ToCaller;
};

LoopbackProxy::LoopbackProxy(asio::io_context &context,
                             const tcp::endpoint &address,
                             const tcp::endpoint &target, std::uint64_t seed,
                             ChooseRate rateOf)
    : Context(context), Acceptor(context, address), Target(target),
      Shared(std::make_shared<State>(seed, std::move(rateOf))) {
  accept();
}

LoopbackProxy::~LoopbackProxy() = default;

void LoopbackProxy::accept() {
  Acceptor.async_accept([this](std::error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted)
      return;
    if (IsDark)
      return;
    if (!ec) {
      auto pipe = std::make_shared<Pipe>(Context, std::move(socket), Shared);
      Shared->Pipes.insert(pipe);
      pipe->start(Target);
    }
    accept();
  });
}

void LoopbackProxy::runThere(const std::function<void()> &task) {
  std::promise<void> done;
  asio::post(Context, [&task, &done] {
    task();
    done.set_value();
  });
  done.get_future().wait();
}

void LoopbackProxy::losePower() {
  runThere([this] {
    IsDark = true;
    for (const auto &it : Shared->Pipes)
      it->fallSilent();
    std::error_code ec;
    Acceptor.cancel(ec);
    Acceptor.listen(0, ec);
    fillQueue();
  });
}

void LoopbackProxy::fillQueue() {
  for (int i = 0; i < QueueFillers; ++i) {
    Fillers.emplace_back(Context);
    Fillers.back().async_connect(Acceptor.local_endpoint(),
                                 [](std::error_code) {});
  }
}

void LoopbackProxy::regainPower() {
  runThere([this] {
    if (!std::exchange(IsDark, false))
      return;
    Fillers.clear();
    std::error_code ec;
    Acceptor.listen(asio::socket_base::max_listen_connections, ec);
    accept();
  });
}

void LoopbackProxy::losePowerOf(const std::string &ip) {
  runThere([this, &ip] {
    for (const auto &it : Shared->Pipes)
      if (it->isOf(ip))
        it->fallSilent();
  });
}

void LoopbackProxy::setHarm(const LinkHarm &harm) {
  asio::post(Context, [state = Shared, harm] { state->Harm = harm; });
}

void LoopbackProxy::resetConnections() {
  asio::post(Context, [state = Shared] {
    const auto pipes = state->Pipes;
    for (const auto &it : pipes)
      it->close();
  });
}

} // namespace stepledge::soak
