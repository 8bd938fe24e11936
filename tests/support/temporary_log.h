#ifndef FLAMINGOGAUGE_TESTS_SUPPORT_TEMPORARY_LOG_H_
#define FLAMINGOGAUGE_TESTS_SUPPORT_TEMPORARY_LOG_H_

#include <stdlib.h>
#include <unistd.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>

namespace flamingogauge {

// A file that log lines can be appended to; removed with the object.
class TemporaryLog {
 public:
  TemporaryLog()
      : path_((std::filesystem::temp_directory_path() /
               "flamingogauge-log-XXXXXX")
                  .string()) {
    const int fd = ::mkstemp(path_.data());
    if (fd < 0) {
      throw std::runtime_error("cannot create " + path_);
    }
    ::close(fd);
  }
  TemporaryLog(const TemporaryLog&) = delete;
  TemporaryLog& operator=(const TemporaryLog&) = delete;
  ~TemporaryLog() { ::unlink(path_.c_str()); }

  const std::string& path() const { return path_; }

  // The number of times that `text` stands in the file.
  std::size_t Count(std::string_view text) const {
    std::ifstream file(path_);
    std::stringstream log;
    log << file.rdbuf();
    const std::string content = log.str();
    std::size_t count = 0;
    for (std::size_t at = content.find(text); at != std::string::npos;
         at = content.find(text, at + text.size())) {
      ++count;
    }
    return count;
  }

 private:
  std::string path_;
};

}  // namespace flamingogauge

#endif  // FLAMINGOGAUGE_TESTS_SUPPORT_TEMPORARY_LOG_H_
