@0xb4f20c1a97d36e85;
# Versions at which streams began, told and asked between hosts.

struct Group {
  software @0 :Text;
  # Keys of streams, eight bytes each.
  keys @1 :Data;
  # Time until each of them is forgotten.
  leftMs @2 :List(UInt32);
  # Service of the version, which is told even if no stream is.
  service @3 :Text;
  # Whether the teller's registry lists the version.
  isListed @4 :Bool;
}

struct Origins {
  groups @0 :List(Group);
}

struct Ask {
  key @0 :Data;
  service @1 :Text;
  # Whether the registry is to be read before the answer.
  mustRead @2 :Bool;
}

struct Answer {
  isKnown @0 :Bool;
  software @1 :Text;
  # Versions of the service that were seen lately.
  versions @2 :List(Text);
  # Contact with the store, as hosts of earlier versions tell it; unused.
  isFresh @3 :Bool;
  isComplete @4 :Bool;
  # Whether the versions were read from the store since the question came.
  isCurrent @5 :Bool;
  # Whether the store may answer the peer although no read has shown it.
  isUnproven @6 :Bool;
}
