#include "limpetdrum/process/Settings.h"

#include "limpetdrum/process/Error.h"
#include "limpetdrum/process/YamlMap.h"

namespace limpetdrum {

namespace {

bool readSwitch(YamlMap &Map, const std::string &Key) {
  return Map.choice(Key, {"off", "on"}, 1) == 1;
}

void readListen(Settings &Result, YamlMap Listen) {
  Result.Ingress = Listen.endpoint("ingress");
  Result.Egress = Listen.endpoint("egress");
  Result.Rpc = Listen.endpoint("rpc");
  Result.Gossip = Listen.endpoint("gossip");
  Result.Admin = Listen.endpoint("admin");
  Listen.rejectUnknownKeys();
  Result.AdvertisedRpc = Result.Rpc;
}

std::vector<Endpoint> readContacts(YamlMap &Map) {
  std::vector<Endpoint> Contacts;
  for (const auto &Text : Map.texts("contacts")) {
    try {
      Contacts.push_back(parseEndpoint(Text));
    } catch (const ValueError &E) {
      throw SourceError(Map.location("contacts"), E.what(), E.remedy());
    }
  }
  return Contacts;
}

} // namespace

Settings parseSettings(const std::string &Text, const std::string &File) {
  YamlMap Map(parseYaml(Text, File), File);
  Settings Result;
  Result.Node = NodeId(Map.text("node"));
  Result.Region = Region(Map.text("region"));
  Result.FailureDomain = FailureDomain(Map.text("failure-domain"));
  readListen(Result, Map.map("listen"));
  if (Map.has("advertised-rpc"))
    Result.AdvertisedRpc = Map.endpoint("advertised-rpc");
  Result.Platform = Map.endpoint("platform");
  Result.Contacts = readContacts(Map);
  Result.LeaveGrace = Map.duration("leave-grace", Result.LeaveGrace);
  Result.DrainLimit = Map.duration("drain-limit", Result.DrainLimit);
  Result.GossipPeriod = Map.duration("gossip-period", Result.GossipPeriod);
  auto Mechanisms = Map.map("mechanisms");
  Result.ShedAtEntry = readSwitch(Mechanisms, "shed-at-entry");
  Result.ShedByClass = readSwitch(Mechanisms, "shed-by-class");
  Result.BoundRetries = readSwitch(Mechanisms, "bound-retries");
  Mechanisms.rejectUnknownKeys();
  Map.rejectUnknownKeys();
  if (Result.DrainLimit < Result.LeaveGrace)
    throw SourceError(
        Map.location(Map.has("drain-limit") ? "drain-limit" : "leave-grace"),
        "'drain-limit' of " + std::to_string(Result.DrainLimit.count()) +
            "ms is shorter than 'leave-grace' of " +
            std::to_string(Result.LeaveGrace.count()) + "ms",
        "make 'drain-limit' at least as long as 'leave-grace'");
  if (Result.GossipPeriod < Milliseconds(50))
    throw SourceError(Map.location("gossip-period"),
                      "'gossip-period' of " +
                          std::to_string(Result.GossipPeriod.count()) +
                          "ms is too short: expected at least 50ms",
                      "write 50ms or more");
  return Result;
}

} // namespace limpetdrum
