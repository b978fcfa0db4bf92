#pragma once

#include <map>
#include <memory>
#include <string>

namespace knapweedpaddle::telemetry {

using MetricLabels = std::map<std::string, std::string>;

/**
 * Counters, gauges and histograms of one node. Metric names are given without
 * the prefix "knapweed_"; docs/OPERATIONS.md lists them.
 *
 * Thread safety: every method may be called from any thread.
 */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Increases a counter. Every metric is created at its first use. */
  void Count(const std::string& aName,
             const MetricLabels& aLabels,
             double aAmount = 1);

  void SetGauge(const std::string& aName,
                const MetricLabels& aLabels,
                double aValue);

  /** Adds a duration to a histogram. */
  void Observe(const std::string& aName,
               const MetricLabels& aLabels,
               double aSeconds);

  /** Returns all metrics in the Prometheus text format. */
  std::string Expose() const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace knapweedpaddle::telemetry
