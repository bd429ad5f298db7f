#include "Process.h"

#include "limpetdrum/process/Error.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace limpetdrum::bench {

Process::Process(const std::vector<std::string> &Command,
                 const std::string &Log) {
  std::vector<char *> Args;
  Args.reserve(Command.size() + 1);
  for (const auto &Arg : Command)
    Args.push_back(const_cast<char *>(Arg.c_str()));
  Args.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  constexpr mode_t Mode = 0644;
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, Mode);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // An inherited descriptor would keep a connection open after the harness
  // has closed it.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  int Result =
      posix_spawn(&this->Id, Args[0], &Actions, nullptr, Args.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Result != 0)
    throw ValueError("cannot start '" + Command.front() +
                         "': posix_spawn returned error " +
                         std::to_string(Result),
                     "check that all programs have been built");
}

Process::~Process() {
  if (this->status())
    return;
  kill(this->Id, SIGKILL);
  int Status = 0;
  waitpid(this->Id, &Status, 0);
}

void Process::signal(int Number) const {
  if (!this->ExitStatus)
    kill(this->Id, Number);
}

std::optional<int> Process::status() {
  int Status = 0;
  if (!this->ExitStatus && waitpid(this->Id, &Status, WNOHANG) == this->Id)
    this->ExitStatus =
        WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
  return this->ExitStatus;
}

double Process::processorSeconds() const {
  // The first field is the time on a processor in nanoseconds, as measured by
  // the scheduler.
  std::ifstream Stat("/proc/" + std::to_string(this->Id) + "/schedstat");
  double Nanoseconds = 0;
  Stat >> Nanoseconds;
  return Nanoseconds / 1e9;
}

std::size_t Process::residentBytes() const {
  std::ifstream Stat("/proc/" + std::to_string(this->Id) + "/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  Stat >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace limpetdrum::bench
