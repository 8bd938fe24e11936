#include "libs/kernel/event_log.h"

#include <unistd.h>

#include <climits>

#include <array>
#include <cstdio>
#include <utility>

namespace flamingogauge {
namespace {

// Appends a JSON string; bytes outside printable ASCII are escaped.
void AppendQuoted(std::string_view text, std::string& out) {
  out += '"';
  for (const char it : text) {
    const auto byte = static_cast<unsigned char>(it);
    if (byte < 0x20 || byte >= 0x7f || it == '"' || it == '\\') {
      std::array<char, 8> buf{};
      std::snprintf(buf.data(), buf.size(), "\\u%04x", byte);
      out += buf.data();
    } else {
      out += it;
    }
  }
  out += '"';
}

// Time of day in milliseconds; for people who read the log, nothing decides
// by it.
std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void WriteAll(int output, std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::write(output, text.data(), text.size());
    if (n <= 0) {
      // The output is gone; there is nowhere left to report it.
      return;
    }
    text.remove_prefix(static_cast<std::size_t>(n));
  }
}

// Writes whole lines, as many at once as a pipe takes without mixing them with
// those of other writers.
void WriteLines(int output, std::string_view text) {
  while (!text.empty()) {
    std::size_t end = text.size();
    if (end > PIPE_BUF) {
      end = text.rfind('\n', PIPE_BUF - 1);
      end = end == std::string_view::npos ? text.find('\n') + 1 : end + 1;
    }
    WriteAll(output, text.substr(0, end));
    text.remove_prefix(end);
  }
}

}  // namespace

EventLine::EventLine(std::string_view event) {
  text_.reserve(256);
  text_ += "{\"event\":";
  AppendQuoted(event, text_);
  Number("unix_ms", UnixMilliseconds());
}

EventLine& EventLine::Text(std::string_view name, std::string_view value) {
  text_ += ',';
  AppendQuoted(name, text_);
  text_ += ':';
  AppendQuoted(value, text_);
  return *this;
}

EventLine& EventLine::Number(std::string_view name, std::int64_t value) {
  text_ += ',';
  AppendQuoted(name, text_);
  text_ += ':';
  text_ += std::to_string(value);
  return *this;
}

EventLine& EventLine::Milliseconds(std::string_view name,
                                   std::chrono::nanoseconds value) {
  return Number(
      name,
      std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::string EventLine::Take() {
  text_ += "}\n";
  return std::move(text_);
}

EventLog::EventLog(EventLogOptions options)
    : options_(options), second_began_(std::chrono::steady_clock::now()) {
  thread_ = std::thread([this] { Run(); });
}

EventLog::~EventLog() {
  {
    std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void EventLog::Write(EventLine line) {
  const std::string text = line.Take();
  const auto now = std::chrono::steady_clock::now();
  std::lock_guard<std::mutex> lock(mutex_);
  if (now - second_began_ >= std::chrono::seconds(1)) {
    second_began_ = now;
    lines_in_second_ = 0;
  }
  ++lines_in_second_;
  if (buffer_.empty()) {
    changed_.notify_all();
  }
  if (lines_in_second_ > options_.max_lines_per_second ||
      buffer_.size() + text.size() > options_.max_buffered_bytes) {
    ++dropped_;
    return;
  }
  buffer_ += text;
}

void EventLog::SetBounds(std::size_t max_lines_per_second,
                         std::size_t max_buffered_bytes) {
  std::lock_guard<std::mutex> lock(mutex_);
  options_.max_lines_per_second = max_lines_per_second;
  options_.max_buffered_bytes = max_buffered_bytes;
}

std::uint64_t EventLog::dropped_lines() const {
  std::lock_guard<std::mutex> lock(mutex_);
  return dropped_;
}

void EventLog::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  bool last = false;
  while (!last) {
    changed_.wait(lock, [this] {
      return stopping_ || !buffer_.empty() || dropped_ != reported_dropped_;
    });
    changed_.wait_for(lock, options_.flush_interval,
                      [this] { return stopping_; });
    last = stopping_;
    if (dropped_ != reported_dropped_) {
      buffer_ +=
          EventLine("log.dropped")
              .Number("lines",
                      static_cast<std::int64_t>(dropped_ - reported_dropped_))
              .Take();
      reported_dropped_ = dropped_;
    }
    std::string text = std::move(buffer_);
    buffer_.clear();
    if (!text.empty()) {
      lock.unlock();
      WriteLines(options_.output, text);
      lock.lock();
    }
  }
}

}  // namespace flamingogauge
