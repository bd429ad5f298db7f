#ifndef LIMPETDRUM_STANDINS_BENCH_PROCESS_H
#define LIMPETDRUM_STANDINS_BENCH_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace limpetdrum::bench {

/// \brief Child process of a test harness; it is killed by the destructor.
class Process {
public:
  /// \brief Starts a program.
  /// \param Command the path of the program and its arguments.
  /// \param Log the file that its output is appended to.
  /// \throws ValueError if the program cannot be started.
  Process(const std::vector<std::string> &Command, const std::string &Log);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// \brief Sends a signal, unless status() has returned an exit status.
  void signal(int Number) const;
  /// \returns the exit status, or 128 plus the number of the signal that ended
  ///   the process; no value while it runs.
  [[nodiscard]] std::optional<int> status();
  [[nodiscard]] pid_t id() const noexcept { return this->Id; }
  /// \brief Returns the processor time used, in seconds; 0 after the process
  ///   has been reaped.
  [[nodiscard]] double processorSeconds() const;
  /// \brief Returns the resident memory, in bytes; 0 after the process has
  ///   ended.
  [[nodiscard]] std::size_t residentBytes() const;

private:
  pid_t Id = -1;
  std::optional<int> ExitStatus;
};

} // namespace limpetdrum::bench

#endif
