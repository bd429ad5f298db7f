#ifndef LIMPETDRUM_SOAK_TARGET_H
#define LIMPETDRUM_SOAK_TARGET_H

#include "TargetServer.h"
#include "Witness.h"

#include "limpetdrum/connection/Http.h"

#include <list>
#include <memory>
#include <random>

namespace limpetdrum::soak {

/// \brief Headers of the users' platform that the soak sends and checks.
namespace wire {
inline const std::string RequestId = "X-Limpetdrum-Attempt-Id";
inline const std::string TimeLeft = "X-Limpetdrum-Deadline-Remaining-Ms";
inline const std::string Expected = "X-Limpetdrum-Expected-Instance";
inline const std::string Caller = "X-Limpetdrum-Caller-Service";
inline const std::string Key = "Api-Key";
inline const std::string Organisation = "X-Limpetdrum-Tenant";
/// Sent in place of an organisation's name; nodes must remove it.
inline const std::string ForgedOrganisation = "forged";
inline const std::string NotExecuted = "X-Limpetdrum-Not-Executed";
inline const std::string Receipt = "X-Limpetdrum-Response-Signature";
inline const std::string RequestRate = "Server-Limit";
inline const std::string TargetLoad = "X-Limpetdrum-Server-Load";
inline const std::string TargetLeaving = "Server-Leaving";
inline const std::string Instance = "X-Limpetdrum-Instance-Id";
inline const std::string Host = "soak.example";
/// \brief Returns a hash of request ID and body that stands in for the
///   signature with which a target signs its answer.
[[nodiscard]] std::string receipt(const std::string &Id,
                                  const std::string &Body);
} // namespace wire

/// \brief Service, zone and addresses of a target and its node.
struct TargetSettings {
  std::size_t Node = 0;
  std::string Service;
  std::string Zone;
  Endpoint Listen;
  Endpoint Announced; ///< address at which the node reaches the target
  Endpoint Reports;   ///< reports address of the node
  Endpoint Outbound;  ///< outbound address of the node
  /// Called when a request crashes the target; destroys it.
  std::function<void()> OnCrash;
};

/// \brief Start of the contents that crash each target that runs them.
inline const std::string CrashingContent = "crash-";

/// \brief Stand-in for a target: one incarnation, at one address.
class Target {
public:
  Target(EventLoop &Loop, TargetSettings Settings, std::string Id,
         Witness &Observations, std::uint64_t Seed);
  ~Target();
  Target(const Target &) = delete;
  Target &operator=(const Target &) = delete;

  /// \brief Starts to leave: reports that it drains or, if \p Silently is set,
  ///   only withdraws its registration.
  void leave(bool Silently);
  /// \brief Says in all answers that it leaves, and reports it only \p Delay
  ///   later.
  void leaveAfterNotice(Milliseconds Delay);
  /// \brief Names a request rate in all answers for \p Span.
  void nameRate(double PerSecond, Milliseconds Span);
  /// \brief Writes answers in a style for \p Span.
  /// \param Share of the answers, from 0 to 1.
  void spoilAnswers(AnswerStyle Style, double Share, Milliseconds Span);
  /// \brief Writes a share of the answers without end for \p Span.
  void spoilEndlessly(bool IsSlow, double Share, Milliseconds Span);
  /// \brief Refuses a share of the requests for \p Span although it has room.
  void shed(double Share, Milliseconds Span);
  /// \brief Runs a share of the requests for \p Span, and answers with the
  ///   status of a refusal but without its mark.
  void failUnmarked(double Share, Milliseconds Span);
  /// \brief Makes each request that starts within \p Span from now take 4 s.
  void stall(Milliseconds Span);
  [[nodiscard]] bool hasExited() const noexcept { return this->HasExited; }
  [[nodiscard]] bool isLeaving() const noexcept { return this->Leaving; }

private:
  using Exchange = std::shared_ptr<TargetExchange>;
  struct Work {
    Exchange Request;
    std::size_t Run = 0; ///< index in the witness
    Timer Completion;
  };

  /// A share of the requests that is handled otherwise for a while.
  struct Part {
    double Share = 0;
    TimePoint Until{};
  };

  void onRequest(const Exchange &Request);
  /// Begins to run a request.
  void run(const Exchange &Request, RunRecord Run);
  /// Refuses a request as not run.
  void refuse(const Exchange &Request, RunRecord Run, int Status);
  /// Runs the requests in the queue that there is room for.
  void runQueued();
  /// Draws whether the next request belongs to a part.
  [[nodiscard]] bool isIn(const Part &Value);
  /// Ends the target by a request that it has begun to run.
  void crash(const std::shared_ptr<Work> &Cause);
  void callLookup(const std::shared_ptr<Work> &Parent);
  /// \param Status of the answer; 0 sends none.
  void finish(const std::shared_ptr<Work> &Job, int Status);
  void answer(const Exchange &Request, const std::string &RequestId,
              int Status);
  void report();
  void withdraw();
  void onLeaveAcknowledged();
  /// Returns the time that work takes now, in percent of the usual time.
  [[nodiscard]] unsigned pace() const;
  /// Returns the headers in which the target says something about itself, and
  /// records that the entry node of the request is told.
  [[nodiscard]] HttpHeaders notices(const std::string &RequestId);

  EventLoop &Loop;
  TargetSettings Settings;
  std::string Id;
  Witness &Observations;
  std::mt19937_64 Random;
  std::int64_t StartTime; ///< Unix time in milliseconds
  std::uint64_t Sequence = 0;
  std::uint64_t LastCall = 0;
  bool Leaving = false;
  bool Withdrawn = false; ///< sends no more reports
  bool HasExited = false;
  /// Indices in the witness of the notices in force.
  std::optional<std::size_t> RateNotice;
  std::optional<std::size_t> LeavingNotice;
  TimePoint StalledUntil{};
  Part Shed;
  Part FailedUnmarked;
  struct QueuedRequest {
    Exchange Request;
    RunRecord Run;
    TimePoint Deadline{};
  };
  std::list<QueuedRequest> Queue;
  std::list<std::shared_ptr<Work>> Running;
  std::vector<Timer> Timers;
  HttpClient ReportsClient;
  HttpClient OutboundClient;
  std::unique_ptr<TargetServer> Server;
};

} // namespace limpetdrum::soak

#endif
