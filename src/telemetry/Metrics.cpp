#include "knapweedpaddle/telemetry/Metrics.h"

#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace knapweedpaddle::telemetry {

namespace {

const prometheus::Histogram::BucketBoundaries kDurationBucketsSeconds{
  0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
  0.05,   0.1,     0.25,   0.5,   1,      2.5,   7,    15
};

} // namespace

class Metrics::Impl
{
public:
  prometheus::Registry registry;
  std::mutex mutex;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;

  /** Returns the metrics of one name, registered at its first use. */
  template<typename Type, typename Builder>
  prometheus::Family<Type>& FamilyOf(
    std::map<std::string, prometheus::Family<Type>*>& aFamilies,
    const std::string& aName,
    Builder aBuilder)
  {
    const std::scoped_lock lock(mutex);
    auto& family = aFamilies[aName];
    if (!family) {
      family = &aBuilder().Name("knapweed_" + aName).Register(registry);
    }
    return *family;
  }
};

Metrics::Metrics()
  : mImpl(std::make_unique<Impl>())
{
}

Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName,
               const MetricLabels& aLabels,
               double aAmount)
{
  mImpl->FamilyOf(mImpl->counters, aName, prometheus::BuildCounter)
    .Add(aLabels)
    .Increment(aAmount);
}

void
Metrics::SetGauge(const std::string& aName,
                  const MetricLabels& aLabels,
                  double aValue)
{
  mImpl->FamilyOf(mImpl->gauges, aName, prometheus::BuildGauge)
    .Add(aLabels)
    .Set(aValue);
}

void
Metrics::Observe(const std::string& aName,
                 const MetricLabels& aLabels,
                 double aSeconds)
{
  mImpl->FamilyOf(mImpl->histograms, aName, prometheus::BuildHistogram)
    .Add(aLabels, kDurationBucketsSeconds)
    .Observe(aSeconds);
}

std::string
Metrics::Expose() const
{
  return prometheus::TextSerializer().Serialize(mImpl->registry.Collect());
}

} // namespace knapweedpaddle::telemetry
