/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file metrics.h Counters, gauges, and histograms by service class and by client account. */

#pragma once

#include "decision/request_type.h"
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <memory>
#include <string>

namespace cottonspool {

/** Quantity that is measured for calls. */
enum class Measure : uint8_t { StallSeconds, FirstTokenSeconds, TokenIntervalSeconds, QueueSeconds, ServiceSeconds };
constexpr size_t MEASURE_COUNT = 5;

/** @return The Prometheus name of \a measure. */
const char *MeasureName(Measure measure);

/** Histogram with fixed buckets and estimated quantiles. */
class Histogram {
public:
	static constexpr std::array<double, 14> BOUNDS{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30};
	static constexpr std::array<double, 4> QUANTILES{0.5, 0.95, 0.99, 0.999};

	Histogram();

	/** Add \a value, in seconds. */
	void Add(double value);

	/** @return Number of values. */
	uint64_t Count() const;

	/** @return Estimate of the quantile at \a index in QUANTILES, in seconds; 0 without values. */
	double Quantile(size_t index) const;

	/** @return The largest value, in seconds; 0 without values. */
	double Max() const;

	/** Append this histogram in the Prometheus text format to \a out. */
	void Write(std::string &out, const std::string &name, const std::string &labels) const;

private:
	using Set = boost::accumulators::accumulator_set<
	        double, boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
	                                           boost::accumulators::tag::max, boost::accumulators::tag::extended_p_square>>;

	Set set;                                       ///< Count, sum, maximum and quantiles.
	std::array<uint64_t, BOUNDS.size()> buckets{}; ///< Number of values in each bucket, not cumulative.
};

/** All metrics of one instance. */
class Metrics {
public:
	/** @param account_series Maximum number of client accounts with their own series. */
	explicit Metrics(size_t account_series) : account_series(account_series) {}

	/** Add \a value of \a measure for a call of \a account and \a service_class. */
	void Observe(Measure measure, const std::string &account, ServiceClass service_class, double value);

	/** Add \a by to the counter \a name, whose labels are part of the name ("x_total{a=\"b\"}"). */
	void Count(const std::string &name, uint64_t by = 1) { this->counters[name] += by; }

	/** Set the gauge \a name. */
	void Gauge(const std::string &name, double value) { this->gauges[name] = value; }

	/** @return All metrics in the Prometheus text format. */
	std::string Render() const;

	/** @return The histogram of \a measure for \a service_class. */
	const Histogram &OfClass(Measure measure, ServiceClass service_class) const;

	/** @return The value of the counter \a name, or 0 if it does not exist. */
	uint64_t Counter(const std::string &name) const;

private:
	using Row = std::array<std::unique_ptr<Histogram>, MEASURE_COUNT>;

	size_t account_series;                                                          ///< Maximum number of accounts with their own series.
	std::array<std::array<Histogram, SERVICE_CLASS_COUNT>, MEASURE_COUNT> by_class; ///< Histograms by class.
	std::map<std::string, Row> by_account; ///< Histograms by account; all others share the label "other".
	std::map<std::string, uint64_t> counters;
	std::map<std::string, double> gauges;
};

} // namespace cottonspool
