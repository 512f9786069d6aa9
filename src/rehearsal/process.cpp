#include "rehearsal/process.hpp"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <utility>

namespace heronwell::rehearsal {

Process::Process(const std::vector<std::string>& arguments, const std::string& log)
    : name_(log.empty() ? arguments.at(1) : std::filesystem::path(log).stem().string()) {
  int in[2], out[2];
  if (::pipe2(in, O_CLOEXEC) != 0 || ::pipe2(out, O_CLOEXEC) != 0)
    throw std::system_error(errno, std::generic_category(), "pipe");
  std::vector<char*> argv;
  for (const auto& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const auto parent = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::system_error(errno, std::generic_category(), "fork");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // if the parent dies, its children die, too
    if (::getppid() != parent) ::_exit(126);
    const int err = ::open(log.empty() ? "/dev/null" : log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(in[0], 0);
    ::dup2(out[1], 1);
    if (err >= 0) ::dup2(err, 2);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  ::close(in[0]);
  ::close(out[1]);
  in_ = in[1];
  out_ = out[0];
}

Process::Process(Process&& other) noexcept
    : pid_(std::exchange(other.pid_, -1)),
      in_(std::exchange(other.in_, -1)),
      out_(std::exchange(other.out_, -1)),
      code_(other.code_),
      buffer_(std::move(other.buffer_)) {}

Process& Process::operator=(Process&& other) noexcept {
  if (this == &other) return *this;
  terminate();
  pid_ = std::exchange(other.pid_, -1);
  in_ = std::exchange(other.in_, -1);
  out_ = std::exchange(other.out_, -1);
  code_ = other.code_;
  buffer_ = std::move(other.buffer_);
  name_ = std::move(other.name_);
  return *this;
}

Process::~Process() { terminate(); }

void Process::terminate() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    wait();
  }
  for (int* file : {&in_, &out_})
    if (*file >= 0) ::close(std::exchange(*file, -1));
}

std::string Process::read_line(Time longest) {
  const auto until = std::chrono::steady_clock::now() + longest;
  while (true) {
    const auto end = buffer_.find('\n');
    if (end != std::string::npos) {
      const auto line = buffer_.substr(0, end);
      buffer_.erase(0, end + 1);
      return line;
    }
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - std::chrono::steady_clock::now());
    pollfd one{out_, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&one, 1, static_cast<int>(left.count())) <= 0)
      throw std::runtime_error(name_ + " gave no word");
    char chunk[512];
    const auto bytes_read = ::read(out_, chunk, sizeof chunk);
    if (bytes_read <= 0) throw std::runtime_error(name_ + " ended at its start");
    buffer_.append(chunk, static_cast<std::size_t>(bytes_read));
  }
}

void Process::write_line(const std::string& line) {
  const auto text = line + "\n";
  if (::write(in_, text.data(), text.size()) < 0) return;  // the process has ended; the records show it
}

void Process::signal(int number) {
  if (pid_ > 0) ::kill(pid_, number);
}

int Process::wait() {
  if (pid_ <= 0) return code_;
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR) continue;
  pid_ = -1;
  return code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Process::wait(Time longest) {
  const auto until = std::chrono::steady_clock::now() + longest;
  while (pid_ > 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= until) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace heronwell::rehearsal
