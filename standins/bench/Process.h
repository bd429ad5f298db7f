#ifndef LIMPETDRUM_STANDINS_BENCH_PROCESS_H
#define LIMPETDRUM_STANDINS_BENCH_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace limpetdrum::bench {

/// \brief A child process of a test harness; it is ended with its object.
class Process {
public:
  /// \param Log the file that takes its output.
  Process(const std::vector<std::string> &Command, const std::string &Log);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  /// \returns its exit status, or 128 and the signal; nothing if it runs.
  [[nodiscard]] std::optional<int> status();
  [[nodiscard]] pid_t id() const noexcept { return this->Id; }
  /// \brief Seconds of processor time it has used.
  [[nodiscard]] double processorSeconds() const;

private:
  pid_t Id = -1;
  std::optional<int> Ended;
};

} // namespace limpetdrum::bench

#endif
