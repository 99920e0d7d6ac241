/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform_client.cpp HTTP client of the platform's table, object store and instance list. */

#include "platform/platform_client.h"
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

void PlatformClient::Send(const std::string &method, const std::string &path, HttpHeaders headers, const std::string &body, AnswerDone done)
{
	if (this->calls_in_flight >= MAX_CALLS) {
		this->counters.refused++;
		HttpCallResult end;
		end.message = "too many platform calls in flight";
		return done(end, {}, "");
	}
	this->calls_in_flight++;
	(method == "GET" ? this->counters.reads : this->counters.writes)++;
	struct Answer {
		HttpHeaders headers; ///< Headers received.
		std::string body;    ///< Body received so far.
	};
	auto answer = std::make_shared<Answer>();
	HttpCall call;
	call.method = method;
	call.url = this->base + path;
	call.headers = std::move(headers);
	call.body = body;
	call.connect_timeout = std::min<Duration>(this->deadline, std::chrono::milliseconds(500));
	call.total_timeout = this->deadline;
	call.fresh_connection = method != "GET";
	call.on_head = [answer](int, const HttpHeaders &got) { answer->headers = got; };
	call.on_data = [answer](std::string_view data) { answer->body.append(data); };
	call.on_end = [this, answer, done = std::move(done)](const HttpCallResult &end) {
		this->calls_in_flight--;
		if (end.kind != HttpCallOutcome::Answered || end.status >= 500) this->counters.failures++;
		done(end, answer->headers, answer->body);
	};
	this->client.Start(std::move(call));
}

void PlatformClient::Read(const std::string &path, Step step, ReadDone done)
{
	this->Send("GET", path, {}, "",
	           [=, this, done = std::move(done)](const HttpCallResult &end, const HttpHeaders &headers, const std::string &body) {
		           if (end.kind == HttpCallOutcome::Answered && end.status == 404) return done(PlatformRow{path, "", ""});
		           if (end.kind == HttpCallOutcome::Answered && end.status == 200)
			           return done(PlatformRow{path, body, std::string(FindHeader(headers, "etag"))});
		           done(Error{step, this->base, "read of " + path + ": " + end.message + " status " + std::to_string(end.status)});
	           });
}

void PlatformClient::Write(const std::string &path, const std::string &value, HttpHeaders headers, WriteDone done)
{
	this->Send("PUT", path, std::move(headers), value,
	           [done = std::move(done)](const HttpCallResult &end, const HttpHeaders &got, const std::string &) {
		           WriteOutcome outcome;
		           if (end.kind == HttpCallOutcome::NotSent) outcome.result = WriteResult::NotDone;
		           if (end.kind == HttpCallOutcome::Answered && end.status == 200)
			           outcome = {WriteResult::Done, std::string(FindHeader(got, "etag"))};
		           if (end.kind == HttpCallOutcome::Answered && end.status == 412) outcome.result = WriteResult::Conflict;
		           done(outcome);
	           });
}

void PlatformClient::ReadRow(const std::string &key, ReadDone done)
{
	this->Read("/table/" + key, Step::Table, std::move(done));
}

void PlatformClient::InsertRow(const std::string &key, const std::string &value, WriteDone done)
{
	this->Write("/table/" + key, value, {{"If-None-Match", "*"}}, std::move(done));
}

void PlatformClient::ReplaceRow(const std::string &key, const std::string &value, const std::string &version, WriteDone done)
{
	this->Write("/table/" + key, value, {{"If-Match", version}}, std::move(done));
}

void PlatformClient::ReadObject(const std::string &key, ReadDone done)
{
	this->Read("/objects/" + key, Step::Object, std::move(done));
}

void PlatformClient::WriteObject(const std::string &key, const std::string &value, const std::string &version, WriteDone done)
{
	HttpHeaders condition{version.empty() ? HttpHeader{"If-None-Match", "*"} : HttpHeader{"If-Match", version}};
	this->Write("/objects/" + key, value, std::move(condition), std::move(done));
}

void PlatformClient::ScanRows(const std::string &prefix, const std::string &after, ScanDone done)
{
	std::string path = "/table?prefix=" + prefix + "&after=" + after;
	this->Send("GET", path, {}, "",
	           [this, done = std::move(done)](const HttpCallResult &end, const HttpHeaders &, const std::string &body) {
		           Json rows = Json::parse(body, nullptr, false);
		           if (end.kind != HttpCallOutcome::Answered || end.status != 200 || !rows.is_array()) {
			           return done(Error{Step::Table, this->base, "scan: " + end.message + " status " + std::to_string(end.status)});
		           }
		           std::vector<PlatformRow> found;
		           for (const Json &row : rows) {
			           if (!row.is_object() || !row.contains("key") || !row["key"].is_string() || !row["value"].is_string()) continue;
			           found.push_back({row["key"], row["value"], "\"" + std::to_string(row.value("version", 0ULL)) + "\""});
		           }
		           done(std::move(found));
	           });
}

void PlatformClient::ListInstances(ListDone done)
{
	this->Send("GET", "/instances", {}, "",
	           [this, done = std::move(done)](const HttpCallResult &end, const HttpHeaders &, const std::string &body) {
		           Json list = Json::parse(body, nullptr, false);
		           if (end.kind != HttpCallOutcome::Answered || end.status != 200 || !list.is_array()) {
			           return done(Error{Step::Table, this->base, "instance list: " + end.message});
		           }
		           std::vector<ListedInstance> found;
		           for (const Json &item : list) {
			           if (!item.is_object() || !item.contains("name") || !item["name"].is_string()) continue;
			           found.push_back({item["name"], item.contains("leaving") && item["leaving"] == true});
		           }
		           done(std::move(found));
	           });
}

} // namespace cottonspool
