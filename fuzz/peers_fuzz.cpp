// This target tests gossip datagrams of peer routers. It checks that a datagram that was not sealed with the
// shared key is never accepted, and that a sealed one is accepted once and then rejected as replayed.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "daemon/gossip_datagram.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace heronwell::daemon;
  static const std::string key = "0123456789abcdef0123456789abcdef";
  GossipDatagramCodec codec(key, 1, 1), other(key, 0, 1);
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  if (codec.open(bytes).fault == DatagramFault::none) std::abort();
  auto sealed = other.seal(bytes.substr(0, 256));
  if (codec.open(sealed).fault != DatagramFault::none || codec.open(sealed).fault != DatagramFault::replayed)
    std::abort();
  return 0;
}
