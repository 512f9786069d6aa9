#include "emulator/network.hpp"

#include <algorithm>
#include <random>
#include <utility>

namespace heronwell::emulator {
namespace {

constexpr Time kSentAgain = std::chrono::milliseconds(200);  // a kernel's least pause before it sends again

}  // namespace

Time Network::way() {
  const auto more = settings_.wires.jitter.count();
  return settings_.wires.delay +
         (more > 0 ? Time(static_cast<std::int64_t>(
                         random_(static_cast<std::uint32_t>(std::min<std::int64_t>(more, 1'000'000'000)))))
                   : Time::zero());
}

std::size_t Network::draw(std::size_t most) {
  return static_cast<std::size_t>(random_(static_cast<std::uint64_t>(most) + 1));
}

bool Network::chance(double part) { return part > 0 && std::generate_canonical<double, 32>(random_) < part; }

void Network::listen(std::uint16_t port, Process& process, Accept accept) {
  listeners_[port] = {&process, std::move(accept)};
}

// The kernel of the other side accepts, also for a process that is stopped.
EndPtr Network::dial(Process& from, std::uint16_t port, bool lossy) {
  auto mine = std::make_shared<End>(*this, from);
  mine->lossy_ = lossy;
  mine->connecting_ = true;
  const auto refused = [weak = std::weak_ptr(mine)] {
    if (const auto end = weak.lock()) end->reset_arrives();
  };
  loop_.after(way(), [this, port, refused, weak = std::weak_ptr(mine)] {
    const auto end = weak.lock();
    if (!end || !end->lives()) return;
    const auto found = listeners_.find(port);
    const bool open = found != listeners_.end() && found->second.process->alive();
    if (!open || chance(settings_.wires.refused)) return loop_.after(way(), refused);
    auto other = std::make_shared<End>(*this, *found->second.process);
    other->lossy_ = end->lossy_;
    other->join(end);
    end->join(other);
    found->second.process->run([accept = found->second.accept, other] { accept(other); });
    loop_.after(way(), [weak] {
      const auto there = weak.lock();
      if (!there || !there->lives()) return;
      there->process_.run([weak] {
        const auto ready = weak.lock();
        if (!ready || !ready->lives() || ready->reset_) return;
        ready->connecting_ = false;
        if (const auto user = ready->user()) user->on_connected();
        ready->stir();
      });
    });
  });
  return mine;
}

void Network::datagram(Process& to, std::function<void()> what) {
  if (!chance(settings_.wires.lost)) to.at(loop_.now() + way(), std::move(what));
}

namespace {
// Of a message that has reached a process: does `lost` if it goes before it was read.
struct Message {
  std::function<void()> arrived, lost;
  Message(std::function<void()> a, std::function<void()> l) : arrived(std::move(a)), lost(std::move(l)) {}
  Message(const Message&) = delete;
  Message& operator=(const Message&) = delete;
  ~Message() {
    if (lost) lost();
  }
};
}  // namespace

void Network::message(Process& to, std::function<void()> arrived, std::function<void()> lost) {
  loop_.after(way(), [&to, letter = std::make_shared<Message>(std::move(arrived), std::move(lost))] {
    if (!to.alive()) return;
    to.run([letter] {
      letter->lost = nullptr;
      letter->arrived();
    });
  });
}

Time End::arrival() {
  auto way = network_.way();
  if (lossy_ && network_.chance(network_.settings().wires.lost)) way += kSentAgain;
  last_ = std::max(last_, network_.loop().now() + way);
  return last_;
}

void End::send(Step step) {
  network_.loop().at(arrival(), [peer = peer_, step] {
    if (const auto other = peer.lock()) ((*other).*step)();
  });
}

std::optional<std::size_t> End::write(std::span<const std::string_view> pieces) {
  if (!lives() || reset_ || shut_) return std::nullopt;
  const auto window = network_.settings().window;
  std::string bytes;
  for (const auto piece : pieces) {
    const auto room = window - std::min(window, out_ + bytes.size());
    bytes += piece.substr(0, room);
    if (piece.size() > room) break;
  }
  const auto size = bytes.size();
  if (size == 0) return 0;
  out_ += size;
  const bool cut = lossy_ && network_.chance(network_.settings().wires.cut);
  if (cut) bytes.resize(network_.draw(size - 1));
  network_.loop().at(arrival(), [weak = weak_from_this(), peer = peer_, bytes = std::move(bytes)] {
    if (const auto other = peer.lock(); other && other->lives()) return other->arrive(bytes);
    // Nobody is there: its kernel answers with a reset.
    if (const auto self = weak.lock())
      self->network_.loop().after(self->network_.way(), [weak] {
        if (const auto end = weak.lock()) end->reset_arrives();
      });
  });
  if (cut) {  // both sides learn of it, each after its way
    send(&End::reset_arrives);
    network_.loop().at(last_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->reset_arrives();
    });
  }
  return size;
}

void End::arrive(const std::string& bytes) {
  if (reset_) return;
  in_ += bytes;
  stir();
}

void End::end_arrives() {
  ended_ = true;
  stir();
}

void End::reset_arrives() {
  if (closed_) return;
  reset_ = true;
  if (const auto other = peer_.lock(); other && !in_.empty()) other->consumed(in_.size());
  in_.clear();
  stir();
}

void End::consumed(std::size_t bytes) {
  out_ -= std::min(out_, bytes);
  if (room_wanted_) stir();
}

void End::notify_when_writable() {
  room_wanted_ = true;
  if (out_ < network_.settings().window) stir();
}

void End::set_reading(bool on) {
  reading_ = on;
  if (on) stir();
}

void End::stir() {
  if (stirred_ || !lives()) return;
  stirred_ = true;
  network_.loop().after(Time::zero(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self || !self->lives()) return;
    self->process_.run([weak] {
      if (const auto end = weak.lock()) end->tell();
    });
  });
}

void End::tell() {
  stirred_ = false;
  if (!lives()) return;
  if (reading_ && !in_.empty() && !connecting_) {
    const auto bytes = std::exchange(in_, {});
    if (const auto other = peer_.lock())
      network_.loop().after(network_.way(), [peer = peer_, size = bytes.size()] {
        if (const auto sender = peer.lock()) sender->consumed(size);
      });
    if (const auto user = this->user()) user->on_data(bytes);
  }
  if (room_wanted_ && lives() && !reset_ && out_ < network_.settings().window) {
    room_wanted_ = false;
    if (const auto user = this->user()) user->on_writable();
  }
  if (!lives() || told_) return;
  const bool heard = reading_ || connecting_ || room_wanted_;
  if (reset_ && heard) {
    told_ = true;
    if (const auto user = this->user()) user->on_closed(true);
  } else if (ended_ && reading_ && in_.empty()) {
    told_ = true;
    reading_ = false;
    if (const auto user = this->user()) user->on_closed(false);
  }
}

void End::shut_down_writing() {
  if (!lives() || std::exchange(shut_, true)) return;
  send(&End::end_arrives);
}

// Unread bytes, as TCP has it, make a reset of it.
void End::close(bool reset) {
  if (std::exchange(closed_, true)) return;
  user_.reset();
  if (reset || !in_.empty())
    send(&End::reset_arrives);
  else if (!shut_)
    send(&End::end_arrives);
}

}  // namespace heronwell::emulator
