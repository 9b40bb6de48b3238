// Parses log lines and prints those of one request.
#include "ctl_explain.h"

#include <nutmegspur/log_reader.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <vector>

namespace nutmegspur {

namespace {

void
read_lines(std::istream& from, const std::string& name, std::vector<log_record>& to) {
  std::string line;
  while (std::getline(from, line)) {
    if (auto it = parse_log_line(line, name)) {
      to.push_back(std::move(*it));
    }
  }
}

} // namespace

ctl_status
explain_request(std::span<const std::string> words) {
  if (words.empty()) {
    std::cerr << "nutmegspur ctl: explain takes a request id and optional log files\n";
    return ctl_status::usage;
  }
  std::vector<log_record> records;
  for (const auto& name : words.subspan(1)) {
    std::ifstream file{name};
    if (!file) {
      std::cerr << "nutmegspur ctl: cannot read file '" << name << "'\n";
      return ctl_status::usage;
    }
    read_lines(file, std::filesystem::path{name}.stem().string(), records);
  }
  if (words.size() == 1) {
    read_lines(std::cin, "stdin", records);
  }
  const request_trace trace = find_request_trace(words.front(), records);
  std::cout << trace_text(words.front(), trace);
  return trace.request_lines.empty() ? ctl_status::refused : ctl_status::ok;
}

} // namespace nutmegspur
