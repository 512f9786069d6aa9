// One client connection of the platform: frames in, up to 32 requests open, answers in any order. Its states
// are Door's (path/states.hpp).
#pragma once

#include <map>
#include <memory>
#include <string>

#include "frames/frames.hpp"
#include "path/shard.hpp"

namespace heronwell::path {

class FrameClient final : public std::enable_shared_from_this<FrameClient>,
                          public ClientSide,
                          public WireUser,
                          public Asker {
 public:
  FrameClient(Shard& shard, std::uint64_t number, WirePtr wire);
  ~FrameClient() override;

  void start() override;
  void sweep(Time now) override;
  void stop() override { retire(); }
  [[nodiscard]] std::optional<Idle> idle() const override;
  void make_room() override { state_ == Door::reading ? retire() : close(DoorEvent::leave); }
  void abandon() override;

  void received(std::string_view bytes) override;
  void writable() override;
  void over(bool broken) override;

  void served(const ExchangePtr& exchange, Content content) override;
  void unserved(const ExchangePtr& exchange, const router::Problem& problem) override;
  void abandoned() override {}
  [[nodiscard]] bool unread() override { return !closed() && !wire_->quiet(); }

 private:
  [[nodiscard]] bool closed() const { return state_ == Door::closed; }
  std::size_t parse(std::string_view in);
  void dispatch(const frames::Frame& frame);
  void request(const frames::Frame& frame);
  void turn_away(std::uint32_t stream, std::string_view why, frames::Code code = frames::Code::refused);
  void misused(std::string_view why);
  void retire();
  void end_in_order();  // if no request is taken any more, and none is open
  void answer(const ExchangePtr& exchange, frames::Code code, const std::vector<frames::Field>& fields,
              std::string_view body);
  void give_up_owed();
  void settled(std::map<std::uint32_t, ExchangePtr>::iterator which);
  void pump();
  void write_out();
  void recount();  // tells the shard how much is held here
  void close(DoorEvent why, bool reset = false);

  Shard& shard_;
  std::uint64_t number_;
  WirePtr wire_;
  std::string in_, out_;                       // not yet parsed; not yet written
  std::map<std::uint32_t, ExchangePtr> open_;  // by stream
  std::size_t statements_ = 0, counted_ = 0;   // bytes: of open requests; of all, as the shard knows them
  std::uint32_t last_stream_ = 0;
  unsigned wrong_ = 0;       // requests that could not be taken
  std::size_t dropped_ = 0;  // bytes read after the last answer
  bool spoke_ = false;       // a whole frame has come that is owed an answer
  Time began_{}, active_{}, progress_{};
  Time frame_since_{};  // when the frame that is not whole began
  Door state_ = Door::reading;
  bool awaiting_room_ = false;
};

}  // namespace heronwell::path
