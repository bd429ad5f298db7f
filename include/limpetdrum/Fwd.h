#ifndef LIMPETDRUM_FWD_H
#define LIMPETDRUM_FWD_H

/// \brief Forward declarations of the library's public types.
namespace limpetdrum {

class Admission;
class AdmissionLevel;
class AttemptLedger;
class Call;
class Caller;
class CompiledRelease;
class ConcurrencyLimit;
class Entrance;
class Error;
class EventLoop;
class Executor;
class InForce;
class KeyedCalls;
class KeyLedger;
class LevelTable;
class Liveness;
class Membership;
class Metrics;
class Node;
class PeerPool;
class PlatformClient;
class Publication;
class ReleaseFeed;
class RetryBudget;
class Router;
class YamlMap;
struct AttemptId;
struct AttemptSpec;
struct Endpoint;
struct Member;
struct Release;
struct ReleaseNote;
struct Reply;
struct Settings;

} // namespace limpetdrum

#endif
