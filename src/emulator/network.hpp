// Wires between processes, byte for byte in order, each way with its delay. What TCP promises and no more:
// bytes that were written may be lost with a reset, the end of one way leaves the other open, a process that
// is stopped still has its connections accepted by its kernel, one that died resets them.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "emulator/loop.hpp"
#include "path/environment.hpp"
#include "rehearsal/plan.hpp"

namespace heronwell::emulator {

struct NetworkSettings {
  rehearsal::Wires wires;
  std::size_t window = 256 << 10;  // bytes under way or unread, each way
  // The fast fidelity: requests and statements are messages, no bytes of HTTP or of the engines' protocol and
  // no connections. Each takes one delay; none is lost but with a process that dies.
  bool messages = false;
};

class End;
using EndPtr = std::shared_ptr<End>;

class Network {
 public:
  Network(Loop& loop, NetworkSettings settings, std::uint64_t seed)
      : loop_(loop), settings_(settings), random_(seed) {}
  Loop& loop() { return loop_; }
  [[nodiscard]] const NetworkSettings& settings() const { return settings_; }

  using Accept = std::function<void(EndPtr)>;
  void listen(std::uint16_t port, Process& process, Accept accept);
  void close(std::uint16_t port) { listeners_.erase(port); }
  EndPtr dial(Process& from, std::uint16_t port, bool lossy = false);
  // A message: `arrived` happens at the other process; `lost`, anywhere, if that was dead by then or dies
  // stopped, before it has read it.
  void message(Process& to, std::function<void()> arrived, std::function<void()> lost);
  // A datagram: `what` happens at the other process, or never.
  void datagram(Process& to, std::function<void()> what);

  [[nodiscard]] Time way();  // of the next piece
  [[nodiscard]] bool chance(double part);
  [[nodiscard]] std::size_t draw(std::size_t most);  // 0 to most

 private:
  struct Listener {
    Process* process = nullptr;
    Accept accept;
  };
  Loop& loop_;
  NetworkSettings settings_;
  pcg64 random_;
  std::map<std::uint16_t, Listener> listeners_;
};

// One end of a connection, as the process at that end has it.
class End final : public path::Stream, public std::enable_shared_from_this<End> {
 public:
  End(Network& network, Process& process) : network_(network), process_(process), life_(process.life()) {}
  End(const End&) = delete;
  End& operator=(const End&) = delete;
  ~End() override { close(false); }

  void attach(std::weak_ptr<path::StreamObserver> user) override { user_ = std::move(user); }
  std::optional<std::size_t> write(std::span<const std::string_view> pieces) override;
  void notify_when_writable() override;
  void set_reading(bool on) override;
  [[nodiscard]] bool nothing_to_read() override { return in_.empty() && !ended_ && !reset_; }
  [[nodiscard]] std::size_t unread_bytes() override { return in_.size(); }
  void shut_down_writing() override;
  void close(bool reset) override;

 private:
  friend class Network;
  using Step = void (End::*)();
  [[nodiscard]] bool lives() const { return !closed_ && life_ == process_.life(); }
  void join(const EndPtr& peer) { peer_ = peer; }
  Time arrival();  // at the other end, of what is sent now
  void send(Step step);
  void arrive(const std::string& bytes);
  void end_arrives();
  void reset_arrives();
  void consumed(std::size_t bytes);
  void stir();  // tells the user what there is, soon
  void tell();
  std::shared_ptr<path::StreamObserver> user() const { return closed_ ? nullptr : user_.lock(); }

  Network& network_;
  Process& process_;
  std::uint64_t life_;
  std::weak_ptr<End> peer_;
  std::weak_ptr<path::StreamObserver> user_;
  bool lossy_ = false;
  bool connecting_ = false, reading_ = false, closed_ = false, shut_ = false;
  bool ended_ = false, reset_ = false, told_ = false;  // of the other end; told: to the user
  bool room_wanted_ = false, stirred_ = false;
  std::string in_;       // arrived, not read
  std::size_t out_ = 0;  // written and not yet read at the other end
  Time last_{};          // arrival of what was sent last
};

}  // namespace heronwell::emulator
