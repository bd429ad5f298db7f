#include "limpetdrum/connection/EventLoop.h"

#include "limpetdrum/process/Error.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <deque>
#include <event2/event.h>
#include <kj/async.h>
#include <vector>

namespace limpetdrum {

namespace {

/// Lateness from which a timer shows that the process was paused: longer than
/// a busy loop takes for one pass.
constexpr Milliseconds MinPause{100};
/// Bounds of the wait of a late timer for what arrived during the pause. One
/// pass reads 16 KB of each ready socket, and twice as many sockets as the one
/// before it; an overloaded loop, whose passes are long, makes few.
constexpr unsigned MaxPasses = 32;
constexpr Milliseconds MaxReadTime{50};

TimePoint readClock() {
  // Unlike the steady clock, CLOCK_BOOTTIME advances while the machine is
  // suspended, so deadlines that passed meanwhile have expired on resume.
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return TimePoint(std::chrono::duration_cast<Microseconds>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec)));
}

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
  event_base *Base;
  event *Event;
  event *NextPass = nullptr; ///< of a late timer
  Microseconds Delay;
  bool Repeat;
  std::function<void()> Action;
  TimePoint Due;
  TimePoint LateSince{};
  unsigned Passes = 0; ///< that the timer has waited

  State(event_base *Base, Microseconds Delay, bool Repeat,
        std::function<void()> Action)
      : Base(Base), Event(event_new(Base, -1, Repeat ? EV_PERSIST : short(0),
                                    &State::onExpiry, this)),
        Delay(std::max(Delay, Microseconds(0))), Repeat(Repeat),
        Action(std::move(Action)), Due(readClock() + this->Delay) {
    auto Span = toTimeval(this->Delay);
    event_add(this->Event, &Span);
  }
  State(const State &) = delete;
  State &operator=(const State &) = delete;
  ~State() {
    event_free(this->Event);
    if (this->NextPass != nullptr)
      event_free(this->NextPass);
  }

  void waitForNextPass() {
    if (this->NextPass == nullptr)
      this->NextPass = event_new(this->Base, -1, 0, &State::onNextPass, this);
    auto Span = toTimeval(Microseconds(0));
    event_add(this->NextPass, &Span);
  }

  void run() {
    this->Passes = 0;
    if (this->Repeat) {
      this->Action();
      return;
    }
    // Moved out of the timer first, because the action may destroy the timer.
    auto Action = std::move(this->Action);
    Action();
  }

  static void onExpiry(evutil_socket_t /*Socket*/, short /*Events*/,
                       void *Context) {
    auto *Self = static_cast<State *>(Context);
    if (Self->Passes > 0)
      return; // expired again while it waits
    auto Now = readClock();
    bool IsLate = Now - Self->Due >= MinPause;
    Self->Due = Now + Self->Delay;
    if (!IsLate) {
      Self->run();
      return;
    }
    Self->LateSince = Now;
    Self->Passes = 1;
    Self->waitForNextPass();
  }

  static void onNextPass(evutil_socket_t /*Socket*/, short /*Events*/,
                         void *Context) {
    auto *Self = static_cast<State *>(Context);
    if (Self->Passes >= MaxPasses ||
        readClock() - Self->LateSince >= MaxReadTime) {
      Self->run();
      return;
    }
    ++Self->Passes;
    Self->waitForNextPass();
  }
};

Timer::Timer(event_base *Base, Microseconds Delay, bool Repeat,
             std::function<void()> Action)
    : Pending(std::make_unique<State>(Base, Delay, Repeat, std::move(Action))) {
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

TimePoint EventLoop::now() const { return readClock(); }

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
