@0xd3a91e60b7c2f584;
# News of upstreams that leave, exchanged between hosts.

struct Departure {
  # Name of the incarnation.
  name @0 :Text;
  # Time since the answer that stated that it leaves.
  ageMs @1 :UInt32;
}

struct Departures {
  rows @0 :List(Departure);
}
