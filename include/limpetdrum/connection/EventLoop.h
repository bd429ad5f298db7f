#ifndef LIMPETDRUM_CONNECTION_EVENTLOOP_H
#define LIMPETDRUM_CONNECTION_EVENTLOOP_H

#include "limpetdrum/process/Types.h"

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace limpetdrum {

/// \brief Pending callback; destroying the timer cancels it.
class Timer {
public:
  Timer();
  Timer(event_base *Base, Microseconds Delay, bool Repeat,
        std::function<void()> Action);
  ~Timer();
  Timer(Timer &&Other) noexcept;
  Timer &operator=(Timer &&Other) noexcept;
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  void cancel() noexcept;

private:
  struct State;
  std::unique_ptr<State> Pending;
};

/// \brief Event loop of a process: libevent's loop, which also runs Cap'n
/// Proto's.
///
/// When promises become ready, an event is activated whose callback runs them;
/// nothing ever blocks on a promise. A timer that is late, because the process
/// was paused, runs once the loop has read what arrived meanwhile. The
/// constructor makes the process ignore SIGPIPE, because peers may close a
/// connection at any time.
class EventLoop {
public:
  /// \throws NetworkError if libevent cannot create an event base.
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  [[nodiscard]] event_base *base() const noexcept;
  /// \brief Returns the time since boot, including time suspended.
  [[nodiscard]] TimePoint now() const;

  /// \brief Calls \p Action once, \p Delay from now.
  [[nodiscard]] Timer after(Microseconds Delay, std::function<void()> Action);
  /// \brief Calls \p Action every \p Period.
  [[nodiscard]] Timer every(Microseconds Period, std::function<void()> Action);
  /// \brief Calls \p Action from the loop after the current callback returns.
  void post(std::function<void()> Action);
  /// \brief Calls \p Action each time the signal \p Number is received.
  void onSignal(int Number, std::function<void()> Action);

  /// \brief Runs until stop() is called.
  void run();
  void stop() noexcept;

private:
  struct State;
  std::unique_ptr<State> Impl;
};

} // namespace limpetdrum

#endif
