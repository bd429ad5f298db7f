#include "limpetdrum/connection/EventLoop.h"

#include "limpetdrum/process/Error.h"

#include <csignal>
#include <ctime>
#include <deque>
#include <event2/event.h>
#include <kj/async.h>
#include <vector>

namespace limpetdrum {

namespace {

timeval toTimeval(Microseconds Span) {
  constexpr std::int64_t PerSecond = 1'000'000;
  timeval Value{};
  Value.tv_sec = Span.count() / PerSecond;
  Value.tv_usec = Span.count() % PerSecond;
  return Value;
}

/// Activates a libevent event when promises are ready to run.
class LoopPort final : public kj::EventPort {
public:
  explicit LoopPort(event_base *Base)
      : Ready(event_new(Base, -1, 0, &LoopPort::onReady, this)) {}
  ~LoopPort() { event_free(this->Ready); }
  LoopPort(const LoopPort &) = delete;
  LoopPort &operator=(const LoopPort &) = delete;

  bool wait() override {
    throw std::logic_error("cannot wait for a promise inside the event loop; "
                           "continue with then() instead");
  }
  bool poll() override { return false; }
  void setRunnable(bool Runnable) override {
    if (Runnable)
      event_active(this->Ready, 0, 0);
  }

  void bind(kj::EventLoop &Loop) { this->Loop = &Loop; }

private:
  static void onReady(evutil_socket_t /*Socket*/, short /*Events*/,
                      void *Context) {
    static_cast<LoopPort *>(Context)->Loop->run();
  }

  event *Ready;
  kj::EventLoop *Loop = nullptr;
};

struct SignalAction {
  event *Event;
  std::function<void()> Action;
};

} // namespace

struct Timer::State {
  event *Event = nullptr;
  bool Repeat = false;
  std::function<void()> Action;

  State() = default;
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() { event_free(this->Event); }

  static void onExpiry(evutil_socket_t /*Socket*/, short /*Events*/,
                       void *Context) {
    auto *Self = static_cast<State *>(Context);
    if (Self->Repeat) {
      Self->Action();
      return;
    }
    // Moved out of the timer first, because the action may destroy the timer.
    auto Action = std::move(Self->Action);
    Action();
  }
};

Timer::Timer(event_base *Base, Microseconds Delay, bool Repeat,
             std::function<void()> Action)
    : Pending(std::make_unique<State>()) {
  this->Pending->Repeat = Repeat;
  this->Pending->Action = std::move(Action);
  short Flags = Repeat ? EV_PERSIST : 0;
  this->Pending->Event =
      event_new(Base, -1, Flags, &State::onExpiry, this->Pending.get());
  auto Span = toTimeval(std::max(Delay, Microseconds(0)));
  event_add(this->Pending->Event, &Span);
}

Timer::Timer() = default;
Timer::~Timer() = default;
Timer::Timer(Timer &&Other) noexcept = default;

Timer &Timer::operator=(Timer &&Other) noexcept {
  this->Pending = std::move(Other.Pending);
  return *this;
}

void Timer::cancel() noexcept { this->Pending.reset(); }

struct EventLoop::State {
  event_base *Base;
  LoopPort Port;
  kj::EventLoop Promises;
  kj::WaitScope Scope;
  std::vector<std::unique_ptr<SignalAction>> Signals;
  /// Actions of post(). Those that have not run are destroyed with the loop,
  /// which frees the objects that they hold.
  std::deque<std::function<void()>> Posted;
  event *PostedReady;

  explicit State(event_base *Base)
      : Base(Base), Port(Base), Promises(Port), Scope(Promises),
        PostedReady(event_new(Base, -1, 0, &State::onPosted, this)) {
    this->Port.bind(this->Promises);
  }
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() {
    event_free(this->PostedReady);
    this->Posted.clear();
  }

  static void onPosted(evutil_socket_t /*Socket*/, short /*Events*/,
                       void *Context) {
    auto &Queue = static_cast<State *>(Context)->Posted;
    // Actions posted meanwhile run in a later callback.
    for (auto Remaining = Queue.size(); Remaining > 0; --Remaining) {
      auto Action = std::move(Queue.front());
      Queue.pop_front();
      Action();
    }
  }
};

EventLoop::EventLoop() {
  std::signal(SIGPIPE, SIG_IGN);
  event_base *Base = event_base_new();
  if (Base == nullptr)
    throw NetworkError("cannot create a libevent event base",
                       "check the limit on open files");
  this->Impl = std::make_unique<State>(Base);
}

EventLoop::~EventLoop() {
  for (auto &Signal : this->Impl->Signals)
    event_free(Signal->Event);
  event_base *Base = this->Impl->Base;
  this->Impl.reset();
  event_base_free(Base);
}

event_base *EventLoop::base() const noexcept { return this->Impl->Base; }

TimePoint EventLoop::now() const {
  // Unlike the steady clock, CLOCK_BOOTTIME advances while the machine is
  // suspended, so deadlines that passed meanwhile have expired on resume.
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Microseconds>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

Timer EventLoop::after(Microseconds Delay, std::function<void()> Action) {
  return Timer(this->Impl->Base, Delay, false, std::move(Action));
}

Timer EventLoop::every(Microseconds Period, std::function<void()> Action) {
  return Timer(this->Impl->Base, Period, true, std::move(Action));
}

void EventLoop::post(std::function<void()> Action) {
  this->Impl->Posted.push_back(std::move(Action));
  event_active(this->Impl->PostedReady, 0, 0);
}

void EventLoop::onSignal(int Number, std::function<void()> Action) {
  auto Signal = std::make_unique<SignalAction>();
  Signal->Action = std::move(Action);
  Signal->Event = evsignal_new(
      this->Impl->Base, Number,
      [](evutil_socket_t /*Signal*/, short /*Events*/, void *Context) {
        static_cast<SignalAction *>(Context)->Action();
      },
      Signal.get());
  event_add(Signal->Event, nullptr);
  this->Impl->Signals.push_back(std::move(Signal));
}

void EventLoop::run() { event_base_dispatch(this->Impl->Base); }

void EventLoop::stop() noexcept { event_base_loopbreak(this->Impl->Base); }

} // namespace limpetdrum
