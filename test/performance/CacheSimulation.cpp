#include "performance/CacheSimulation.h"

#include "routing/PrefixAffinity.h"

#include <algorithm>

namespace sycamoreward::simulation {

namespace {

constexpr Duration kPollInterval = std::chrono::seconds(1);

class CacheSimulation
{
public:
  explicit CacheSimulation(const CacheSetting& aSetting)
    : setting_(aSetting)
    , random_(aSetting.seed_)
    , workspaces_(Zipf(aSetting.workspaces_))
    , documents_(Zipf(aSetting.documents_))
    , caches_(aSetting.servers_)
    , running_(aSetting.servers_)
    , instances_(aSetting.instances_)
  {
    policy_.slotsPerServer_ = setting_.slots_;
    for (auto& cache : caches_) {
      cache.capacityBlocks_ = setting_.cacheBlocks_;
    }
    for (Instance& instance : instances_) {
      instance.views_.resize(setting_.servers_);
      for (std::size_t at = 0; at < setting_.servers_; ++at) {
        instance.views_[at].server_.id_ = ServerId("s" + std::to_string(at));
      }
    }
  }

  CacheFigures Run()
  {
    std::exponential_distribution<double> gap(setting_.requestsPerSecond_);
    const MonotonicTime start = now_;
    const MonotonicTime end = now_ + Seconds(setting_.seconds_);
    const MonotonicTime measuredFrom = now_ + Seconds(setting_.seconds_ / 3);
    MonotonicTime poll = start;
    for (; now_ < end; now_ += Seconds(gap(random_))) {
      EndDueRequests();
      for (; poll <= now_; poll += kPollInterval) {
        Report();
      }
      isCounted_ = now_ >= measuredFrom;
      Arrive();
    }
    return figures_;
  }

private:
  struct Instance
  {
    std::vector<ServerView> views_;
    PrefixCounts prefixes_;
  };
  struct Ending
  {
    MonotonicTime time_{};
    std::size_t instance_ = 0;
    std::size_t server_ = 0;
    bool operator>(const Ending& aOther) const { return time_ > aOther.time_; }
  };

  static Duration Seconds(double aSeconds)
  {
    return Duration(std::int64_t(aSeconds * 1e6));
  }

  static std::discrete_distribution<std::size_t> Zipf(std::size_t aCount)
  {
    std::vector<double> weights;
    for (std::size_t rank = 1; rank <= aCount; ++rank) {
      weights.push_back(1.0 / double(rank));
    }
    return { weights.begin(), weights.end() };
  }

  std::vector<std::uint64_t> DrawPrompt()
  {
    const std::uint64_t workspace = workspaces_(random_);
    const std::uint64_t document = documents_(random_);
    std::vector<std::uint64_t> hashes;
    std::uint64_t hash = 1 + workspace;
    const auto add = [&](std::size_t aBlocks, std::uint64_t aText) {
      for (std::size_t block = 0; block < aBlocks; ++block) {
        hash = (hash ^ (aText * 1000 + block)) * 0x9e3779b97f4a7c15ULL;
        hash ^= hash >> 29;
        hashes.push_back(hash);
      }
    };
    add(setting_.instructionBlocks_, 1);
    add(setting_.documentBlocks_, 2 + document);
    add(setting_.questionBlocks_, random_());
    return hashes;
  }

  void Arrive()
  {
    const std::vector<std::uint64_t> hashes = DrawPrompt();
    const std::size_t at = random_() % instances_.size();
    Instance& instance = instances_[at];
    const auto server = Choose(instance, hashes);
    if (!server) {
      return;
    }
    auto& cache = caches_[*server];
    const std::size_t matched = standin::MatchBlocks(cache, hashes);
    standin::StoreBlocks(cache, hashes, now_);
    for (std::size_t block = 0; block < hashes.size(); ++block) {
      const bool isNew = computed_.insert(hashes[block]).second;
      if (isCounted_) {
        ++figures_.prompt_;
        figures_.recomputed_ += block >= matched && !isNew ? 1 : 0;
      }
    }
    RecordStart(instance.views_[*server], Tokens(1), false, now_);
    ++running_[*server];
    std::exponential_distribution<double> length(1 / setting_.meanSeconds_);
    endings_.push({ now_ + Seconds(length(random_)), at, *server });
  }

  std::optional<std::size_t> Choose(Instance& aInstance,
                                    const std::vector<std::uint64_t>& aHashes)
  {
    if (setting_.policy_ == CachePolicy::Oracle) {
      return ChooseByOracle(aHashes);
    }
    ChooseServerInput input;
    input.instances_ = instances_.size();
    if (setting_.policy_ == CachePolicy::Affinity) {
      input.prefixHashes_ = aHashes;
      input.affinityKey_ =
        AffinityKey(aHashes, aInstance.prefixes_, aInstance.views_.size());
      CountPrefixes(aInstance.prefixes_, aHashes);
    }
    return ChooseServer(aInstance.views_, policy_, input, now_, random_);
  }

  std::optional<std::size_t> ChooseByOracle(
    const std::vector<std::uint64_t>& aHashes) const
  {
    double total = 1;
    for (const unsigned running : running_) {
      total += running;
    }
    const double limit =
      std::ceil(policy_.affinityBound_ * total / double(running_.size()));
    std::optional<std::size_t> best;
    std::size_t bestMatch = 0;
    for (std::size_t at = 0; at < caches_.size(); ++at) {
      if (running_[at] + 1 > limit || running_[at] >= setting_.slots_) {
        continue;
      }
      std::size_t match = 0;
      while (match < aHashes.size() &&
             caches_[at].index_.count(aHashes[match]) != 0) {
        ++match;
      }
      if (!best || match > bestMatch ||
          (match == bestMatch && running_[at] < running_[*best])) {
        best = at;
        bestMatch = match;
      }
    }
    return best;
  }

  void EndDueRequests()
  {
    while (!endings_.empty() && endings_.top().time_ <= now_) {
      const Ending ending = endings_.top();
      endings_.pop();
      --running_[ending.server_];
      RecordEnd(instances_[ending.instance_].views_[ending.server_],
                Tokens(1),
                false,
                now_);
    }
  }

  void Report()
  {
    for (std::size_t server = 0; server < running_.size(); ++server) {
      LoadReport report;
      report.running_ = running_[server];
      report.isAccepting_ = true;
      for (Instance& instance : instances_) {
        ApplyReport(instance.views_[server], report, now_);
      }
    }
  }

  CacheSetting setting_;
  RoutingPolicy policy_;
  RandomSource random_;
  std::discrete_distribution<std::size_t> workspaces_;
  std::discrete_distribution<std::size_t> documents_;
  MonotonicTime now_{ std::chrono::hours(1) };
  std::vector<standin::PrefixCache> caches_;
  std::vector<unsigned> running_;
  std::vector<Instance> instances_;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> endings_;
  std::unordered_set<std::uint64_t> computed_;
  bool isCounted_ = false;
  CacheFigures figures_;
};

} // namespace

CacheFigures
RunCacheSimulation(const CacheSetting& aSetting)
{
  return CacheSimulation(aSetting).Run();
}

} // namespace sycamoreward::simulation
