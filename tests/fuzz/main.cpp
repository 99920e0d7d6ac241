/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file main.cpp Feeds every decoder with valid messages that were changed at random, and with inputs that once broke one. */

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

DEFINE_uint64(seed, 1, "seed of the changes");
DEFINE_uint64(inputs, 20000, "inputs for each decoder");
DEFINE_string(decoder, "", "only this decoder");
DEFINE_string(corpus, "tests/fuzz/corpus", "folder of inputs that once broke a decoder, by its name");
DEFINE_string(found, "fuzz-found", "folder in which an input that breaks a decoder is left");

namespace cottonspool {

static constexpr size_t MAX_CHANGES = 6; ///< Most changes of one input.
static constexpr size_t BATCH = 2000;    ///< Inputs given to one process; one that breaks is then looked for among them.

/** Changes inputs at random. */
class Mutator {
public:
	explicit Mutator(uint64_t seed) : random(seed) {}

	/** @return One of \a seeds, changed. */
	std::string Make(const std::vector<std::string> &seeds)
	{
		std::string input = seeds[this->Pick(seeds.size())];
		size_t changes = 1 + this->Pick(MAX_CHANGES);
		for (size_t i = 0; i < changes; i++) this->Change(input, seeds);
		return input;
	}

private:
	size_t Pick(size_t count) { return count == 0 ? 0 : static_cast<size_t>(this->random() % count); }

	void Change(std::string &input, const std::vector<std::string> &seeds)
	{
		static const std::vector<std::string> WORDS{"null",
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
			input.insert(at, WORDS[this->Pick(WORDS.size())]);
			return;
		case 3:
			input.replace(at, length, WORDS[this->Pick(WORDS.size())]);
			return;
		case 4: {
			const std::string &other = seeds[this->Pick(seeds.size())];
			size_t from = this->Pick(other.size());
			input.insert(at, other.substr(from, this->Pick(64)));
			return;
		}
		default:
			this->ReplaceValue(input, WORDS);
		}
	}

	/** Put a word in the place of a number or a text behind a colon: the shape stays, the type does not. */
	void ReplaceValue(std::string &input, const std::vector<std::string> &words)
	{
		size_t colon = input.find(':', this->Pick(input.size() + 1));
		if (colon == std::string::npos) return;
		size_t end = input.find_first_of(",}]\r\n", colon + 1);
		if (end == std::string::npos) end = input.size();
		input.replace(colon + 1, end - colon - 1, words[this->Pick(words.size())]);
	}

	pcg64 random; ///< Chance.
};

/** Give \a inputs to \a decoder in a process of its own. @return Whether it came through. */
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

/** Leave \a input behind: it breaks \a decoder. */
static void KeepInput(const FuzzedDecoder &decoder, const std::string &input)
{
	std::filesystem::path folder = std::filesystem::path(FLAGS_found) / decoder.name;
	std::filesystem::create_directories(folder);
	std::filesystem::path file = folder / (std::to_string(FLAGS_seed) + "-" + std::to_string(std::hash<std::string>()(input)));
	std::ofstream(file, std::ios::binary) << input;
	std::cout << decoder.name << ": broken by " << file.string() << std::endl;
}

/** Feed \a decoder with the inputs of its corpus and with changed messages. @return Whether none broke it. */
static bool Fuzz(const FuzzedDecoder &decoder)
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
	while (inputs.size() < FLAGS_inputs) inputs.push_back(mutator.Make(seeds));
	for (size_t begin = 0; begin < inputs.size(); begin += BATCH) {
		std::span<const std::string> batch = std::span(inputs).subspan(begin, std::min(BATCH, inputs.size() - begin));
		if (Survives(decoder, batch)) continue;
		auto broken = std::find_if(batch.begin(), batch.end(), [&](const std::string &input) { return !Survives(decoder, {&input, 1}); });
		KeepInput(decoder, broken == batch.end() ? std::string() : *broken);
		return false;
	}
	std::cout << decoder.name << ": " << inputs.size() << " inputs, none broke it" << std::endl;
	return true;
}

} // namespace cottonspool

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	bool good = true;
	for (const cottonspool::FuzzedDecoder &decoder : cottonspool::FuzzedDecoders()) {
		if (!FLAGS_decoder.empty() && FLAGS_decoder != decoder.name) continue;
		good = cottonspool::Fuzz(decoder) && good;
	}
	return good ? 0 : 1;
}
