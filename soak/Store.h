#ifndef LIMPETDRUM_SOAK_STORE_H
#define LIMPETDRUM_SOAK_STORE_H

#include "limpetdrum/connection/Http.h"

#include <list>
#include <map>
#include <nlohmann/json.hpp>

namespace limpetdrum::soak {

/// \brief Stand-in for the users' object store, run in the harness's process.
class Store {
public:
  enum class FailureMode : std::uint8_t {
    Healthy,
    Refusing,        ///< answers 503 to every call
    Unresponsive,    ///< accepts calls and never answers
    DroppingReplies, ///< applies writes but never answers
    Slow,            ///< answers after a delay
  };

  Store(EventLoop &Loop, Endpoint Listen);

  void setFailureMode(FailureMode Mode) { this->Mode = Mode; }
  /// \brief Discards all past changes: a watch from an earlier revision gets
  ///   410.
  void discardHistory();
  /// \brief Restores the contents of some time ago, as after a loss of the
  ///   store: newer revisions are gone and are assigned again.
  void restore(Milliseconds Age);
  /// \brief Writes an object directly, as the operator would.
  void write(const std::string &Kind, const std::string &Name,
             const nlohmann::json &Specification);
  [[nodiscard]] std::uint64_t calls() const noexcept { return this->Calls; }

private:
  using Exchange = std::shared_ptr<HttpExchange>;
  struct Watch {
    Exchange Request;
    std::string Kind;
    std::uint64_t LastRevision; ///< the newest one that the client has
    Timer Timeout;
  };
  struct Entry {
    std::uint64_t Revision = 0;
    nlohmann::json Specification;
  };
  struct Change {
    std::uint64_t Revision;
    std::string Kind;
    std::string Name;
    bool Deleted;
  };

  /// The contents after a change.
  struct Copy {
    TimePoint Time;
    std::uint64_t Revision;
    std::map<std::string, std::map<std::string, Entry>> Kinds;
  };

  void onRequest(const Exchange &Request);
  void serve(const Exchange &Request);
  void read(const Exchange &Request, const std::string &Kind,
            const std::string &Name);
  void change(const Exchange &Request, const std::string &Kind,
              std::string Name);
  void reply(const Exchange &Request, int Status, const nlohmann::json &Body);
  /// \brief Answers a watch with the changes after \p LastRevision.
  /// \returns false if there are none; the request is then still unanswered.
  bool sendEvents(const Exchange &Request, const std::string &Kind,
                  std::uint64_t LastRevision);
  void onChanged(const Change &Value);
  void notifyWatches();
  /// Ends all watches because their revisions are gone.
  void expireWatches();
  [[nodiscard]] nlohmann::json object(const std::string &Name,
                                      const Entry &Object) const;

  EventLoop &Loop;
  FailureMode Mode = FailureMode::Healthy;
  std::uint64_t Revision = 100;
  std::uint64_t HistoryStart = 0;
  std::uint64_t Calls = 0;
  std::map<std::string, std::map<std::string, Entry>> Kinds;
  std::vector<Change> History;
  std::vector<Copy> Copies;
  std::uint64_t Era = 0; ///< number of restorations
  std::list<Watch> Watches;
  std::vector<Exchange> Unanswered;
  std::list<Timer> Delayed;
  HttpServer Server; ///< last, so that its connections are destroyed first
};

} // namespace limpetdrum::soak

#endif
