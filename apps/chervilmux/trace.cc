#include "trace.h"

#include <fstream>
#include <iostream>

#include "observe/trace.h"

namespace chervilmux::command {

int PrintTrace(const std::string& request_id,
               std::span<const std::string> files) {
  observe::TraceReader reader(request_id);
  if (files.empty()) reader.Read(std::cin);
  for (const auto& path : files) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "chervilmux: cannot read " << path << "\n";
      return 1;
    }
    reader.Read(file);
  }
  const observe::Trace trace = reader.Result();
  if (trace.lines.empty()) {
    std::cerr << "chervilmux: no line about request " << request_id
              << "; give the logs of all instances\n";
    return 1;
  }
  std::cout << observe::DescribeTrace(trace);
  return 0;
}

}  // namespace chervilmux::command
