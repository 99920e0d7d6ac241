/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file main.cpp Feeds each decoder with its corpus of former failures and with randomly mutated valid messages. */

#include "decoders.h"
#include <algorithm>
#include <exception>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <pcg_random.hpp>
#include <span>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

DEFINE_uint64(seed, 1, "seed of the mutations");
DEFINE_uint64(inputs, 20000, "number of inputs for each decoder");
DEFINE_string(decoder, "", "name of the only decoder to test; empty for all");
DEFINE_string(corpus, "tests/fuzz/corpus", "folder of inputs that have crashed a decoder before, in one folder per decoder");
DEFINE_string(found, "fuzz-found", "folder to which an input that crashes a decoder is written");

namespace cottonspool {

static constexpr size_t MAX_CHANGES = 6; ///< Largest number of mutations of one input.
static constexpr size_t BATCH = 2000;    ///< Inputs decoded by one child process; after a crash they are tried one by one.

/** Mutates inputs at random. */
class Mutator {
public:
	explicit Mutator(uint64_t seed) : random(seed) {}

	/** @return One of \a seeds, mutated. */
	std::string Mutate(const std::vector<std::string> &seeds)
	{
		std::string input = seeds[this->Pick(seeds.size())];
		size_t changes = 1 + this->Pick(MAX_CHANGES);
		for (size_t i = 0; i < changes; i++) this->MutateOnce(input, seeds);
		return input;
	}

private:
	size_t Pick(size_t count) { return count == 0 ? 0 : static_cast<size_t>(this->random() % count); }

	void MutateOnce(std::string &input, const std::vector<std::string> &seeds)
	{
		static const std::vector<std::string> TOKENS{"null",
		                                             "true",
		                                             "-1",
		                                             "1e308",
		                                             "-1e308",
		                                             "18446744073709551616",
		                                             "99999999999999999999999",
		                                             "0.5",
		                                             "[]",
		                                             "{}",
		                                             "\"\"",
		                                             "\xff\xfe",
		                                             std::string("\0", 1),
		                                             "4294967296",
		                                             "\"\\ud800\"",
		                                             "1e400",
		                                             ",",
		                                             ":",
		                                             "\"",
		                                             "\r\n",
		                                             "[[[[[[[[",
		                                             "{\"a\":"};
		size_t at = this->Pick(input.size() + 1);
		size_t length = this->Pick(std::min<size_t>(input.size() - at, 12) + 1);
		switch (this->Pick(6)) {
		case 0:
			if (at < input.size()) input[at] = static_cast<char>(this->random());
			return;
		case 1:
			input.erase(at, length);
			return;
		case 2:
			input.insert(at, TOKENS[this->Pick(TOKENS.size())]);
			return;
		case 3:
			input.replace(at, length, TOKENS[this->Pick(TOKENS.size())]);
			return;
		case 4: {
			const std::string &other = seeds[this->Pick(seeds.size())];
			size_t from = this->Pick(other.size());
			input.insert(at, other.substr(from, this->Pick(64)));
			return;
		}
		default:
			this->ReplaceValue(input, TOKENS);
		}
	}

	/** Replace the value after a colon by one of \a words: the structure stays valid, the type changes. */
	void ReplaceValue(std::string &input, const std::vector<std::string> &words)
	{
		size_t colon = input.find(':', this->Pick(input.size() + 1));
		if (colon == std::string::npos) return;
		size_t end = input.find_first_of(",}]\r\n", colon + 1);
		if (end == std::string::npos) end = input.size();
		input.replace(colon + 1, end - colon - 1, words[this->Pick(words.size())]);
	}

	pcg64 random; ///< Random numbers.
};

/** Decode \a inputs in a child process. @return Whether it neither crashed nor threw. */
static bool Survives(const FuzzedDecoder &decoder, std::span<const std::string> inputs)
{
	pid_t child = fork();
	if (child == 0) {
		try {
			for (const std::string &input : inputs) decoder.decode(input);
		} catch (const std::exception &error) {
			std::cerr << "exception: " << error.what() << std::endl;
			std::_Exit(1);
		}
		std::_Exit(0);
	}
	int status = 0;
	return waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

/** Write \a input, which crashes \a decoder, to a file. */
static void SaveInput(const FuzzedDecoder &decoder, const std::string &input)
{
	std::filesystem::path folder = std::filesystem::path(FLAGS_found) / decoder.name;
	std::filesystem::create_directories(folder);
	std::filesystem::path file = folder / (std::to_string(FLAGS_seed) + "-" + std::to_string(std::hash<std::string>()(input)));
	std::ofstream(file, std::ios::binary) << input;
	std::cout << decoder.name << ": crashed by " << file.string() << std::endl;
}

/** Test \a decoder with its corpus and with mutated messages. @return Whether it survived all of them. */
static bool RunDecoder(const FuzzedDecoder &decoder)
{
	std::filesystem::path folder = std::filesystem::path(FLAGS_corpus) / decoder.name;
	std::vector<std::string> seeds = decoder.seeds;
	if (std::filesystem::is_directory(folder)) {
		for (const auto &entry : std::filesystem::directory_iterator(folder)) {
			std::stringstream text;
			text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
			seeds.push_back(text.str());
		}
	}
	std::sort(seeds.begin(), seeds.end());
	Mutator mutator(FLAGS_seed);
	std::vector<std::string> inputs = seeds;
	while (inputs.size() < FLAGS_inputs) inputs.push_back(mutator.Mutate(seeds));
	for (size_t begin = 0; begin < inputs.size(); begin += BATCH) {
		std::span<const std::string> batch = std::span(inputs).subspan(begin, std::min(BATCH, inputs.size() - begin));
		if (Survives(decoder, batch)) continue;
		auto crashed = std::find_if(batch.begin(), batch.end(), [&](const std::string &input) { return !Survives(decoder, {&input, 1}); });
		SaveInput(decoder, crashed == batch.end() ? std::string() : *crashed);
		return false;
	}
	std::cout << decoder.name << ": " << inputs.size() << " inputs, no crash" << std::endl;
	return true;
}

} // namespace cottonspool

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	bool good = true;
	for (const cottonspool::FuzzedDecoder &decoder : cottonspool::FuzzedDecoders()) {
		if (!FLAGS_decoder.empty() && FLAGS_decoder != decoder.name) continue;
		good = cottonspool::RunDecoder(decoder) && good;
	}
	return good ? 0 : 1;
}
