#include "limpetdrum/Limpetdrum.h"
#include "limpetdrum/process/YamlMap.h"

#include <csignal>
#include <easylogging++.h>
#include <gflags/gflags.h>
#include <iostream>
#include <sysexits.h>

INITIALIZE_EASYLOGGINGPP

DEFINE_string(settings, "", "YAML file with the node's settings");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int InvalidSettings = 2;

void configureLogging() {
  el::Configurations Format;
  Format.setToDefault();
  Format.setGlobally(el::ConfigurationType::ToFile, "false");
  Format.setGlobally(el::ConfigurationType::Format,
                     "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
  el::Loggers::reconfigureAllLoggers(Format);
}

int serve(const limpetdrum::Settings &Settings) {
  limpetdrum::EventLoop Loop;
  int SignalCount = 0;
  int Status = EX_OK;
  limpetdrum::Node Node(Loop, Settings, [&Loop]() { Loop.stop(); });
  auto Leave = [&]() {
    if (++SignalCount == 1) {
      Node.leave();
      return;
    }
    Status = EX_TEMPFAIL;
    Loop.stop();
  };
  Loop.onSignal(SIGTERM, Leave);
  Loop.onSignal(SIGINT, Leave);
  Loop.run();
  return Status;
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::SetUsageMessage(
      "runs the limpetdrum node beside a target\n"
      "exit status: 0 left gracefully, 2 invalid settings, 71 an address "
      "cannot be bound, 75 ended by a second signal");
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  configureLogging();
  try {
    auto Text = limpetdrum::readFile(FLAGS_settings);
    auto Settings = limpetdrum::parseSettings(Text, FLAGS_settings);
    return FLAGS_check ? EX_OK : serve(Settings);
  } catch (const limpetdrum::NetworkError &E) {
    std::cerr << E.what() << "\n";
    return EX_OSERR;
  } catch (const limpetdrum::Error &E) {
    std::cerr << E.what() << "\n";
    return InvalidSettings;
  }
}
