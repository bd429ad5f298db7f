#ifndef LIMPETDRUM_CONNECTION_EVENTLOOP_H
#define LIMPETDRUM_CONNECTION_EVENTLOOP_H

#include "limpetdrum/process/Types.h"

#include <functional>
#include <memory>

struct event_base;
struct event;

namespace limpetdrum {

/// \brief A pending callback; destroying it cancels it.
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

/// \brief The one loop of a process: libevent's, with Cap'n Proto's inside.
///
/// When promises become ready, an event is made active whose callback runs
/// them; nothing ever blocks on a promise. Ignores SIGPIPE in the process, as
/// peers may hang up at any time.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;

  [[nodiscard]] event_base *base() const noexcept;
  [[nodiscard]] TimePoint now() const;

  /// \brief Calls \p Action once, \p Delay from now.
  [[nodiscard]] Timer after(Microseconds Delay, std::function<void()> Action);
  /// \brief Calls \p Action every \p Period.
  [[nodiscard]] Timer every(Microseconds Period, std::function<void()> Action);
  /// \brief Calls \p Action from the loop, after the running callback.
  void post(std::function<void()> Action);
  /// \brief Calls \p Action for each signal \p Number.
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
