/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file metrics.cpp Counters and histograms. */

#include "metrics/metrics.h"
#include <sstream>

namespace cottonspool {

namespace accumulators = boost::accumulators;

static constexpr std::array<const char *, MEASURE_COUNT> NAMES{"cottonspool_stall_seconds", "cottonspool_first_token_seconds",
                                                               "cottonspool_token_interval_seconds", "cottonspool_queue_seconds",
                                                               "cottonspool_service_seconds"};
static const char *const OTHER_ACCOUNTS = "other"; ///< Label shared by all accounts beyond the maximum number of series.

const char *MeasureName(Measure measure)
{
	return NAMES[static_cast<size_t>(measure)];
}

Histogram::Histogram() : set(accumulators::extended_p_square_probabilities = QUANTILES)
{
}

void Histogram::Add(double value)
{
	this->set(value);
	for (size_t i = 0; i < BOUNDS.size(); i++) {
		if (value > BOUNDS[i]) continue;
		this->buckets[i]++;
		return;
	}
}

uint64_t Histogram::Count() const
{
	return accumulators::count(this->set);
}

double Histogram::Quantile(size_t index) const
{
	return this->Count() == 0 ? 0 : accumulators::extended_p_square(this->set)[static_cast<long>(index)];
}

double Histogram::Max() const
{
	return this->Count() == 0 ? 0 : accumulators::max(this->set);
}

void Histogram::Write(std::string &out, const std::string &name, const std::string &labels) const
{
	std::ostringstream text;
	uint64_t below = 0;
	for (size_t i = 0; i < BOUNDS.size(); i++) {
		below += this->buckets[i];
		text << name << "_bucket{" << labels << ",le=\"" << BOUNDS[i] << "\"} " << below << "\n";
	}
	text << name << "_bucket{" << labels << ",le=\"+Inf\"} " << this->Count() << "\n";
	text << name << "_sum{" << labels << "} " << accumulators::sum(this->set) << "\n";
	text << name << "_count{" << labels << "} " << this->Count() << "\n";
	for (size_t i = 0; i < QUANTILES.size() && this->Count() > 0; i++) {
		text << name << "_quantile{" << labels << ",quantile=\"" << QUANTILES[i] << "\"} " << this->Quantile(i) << "\n";
	}
	out += text.str();
}

void Metrics::Observe(Measure measure, const std::string &account, ServiceClass service_class, double value)
{
	this->by_class[static_cast<size_t>(measure)][static_cast<size_t>(service_class)].Add(value);
	auto row = this->by_account.find(account);
	if (row == this->by_account.end()) {
		bool has_free_series = this->by_account.size() < this->account_series;
		row = this->by_account.try_emplace(has_free_series ? account : OTHER_ACCOUNTS).first;
	}
	std::unique_ptr<Histogram> &histogram = row->second[static_cast<size_t>(measure)];
	if (!histogram) histogram = std::make_unique<Histogram>();
	histogram->Add(value);
}

std::string Metrics::Render() const
{
	std::string out;
	for (size_t m = 0; m < MEASURE_COUNT; m++) {
		out += std::string("# TYPE ") + NAMES[m] + " histogram\n";
		for (size_t c = 0; c < SERVICE_CLASS_COUNT; c++) {
			if (this->by_class[m][c].Count() == 0) continue;
			this->by_class[m][c].Write(out, NAMES[m], std::string("class=\"") + ServiceClassName(static_cast<ServiceClass>(c)) + "\"");
		}
		for (const auto &[account, row] : this->by_account) {
			if (row[m]) row[m]->Write(out, NAMES[m], "account=\"" + account + "\"");
		}
	}
	for (const auto &[name, value] : this->counters) out += name + " " + std::to_string(value) + "\n";
	for (const auto &[name, value] : this->gauges) out += name + " " + std::to_string(value) + "\n";
	return out;
}

const Histogram &Metrics::OfClass(Measure measure, ServiceClass service_class) const
{
	return this->by_class[static_cast<size_t>(measure)][static_cast<size_t>(service_class)];
}

uint64_t Metrics::Counter(const std::string &name) const
{
	auto found = this->counters.find(name);
	return found == this->counters.end() ? 0 : found->second;
}

} // namespace cottonspool
