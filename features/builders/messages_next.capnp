@0xb3c1d6d2a4f07e12;
# Possible schema of the next release, for compatibility tests.

struct Hello {
  version @0 :UInt16;
  least @1 :UInt16;
  host @2 :Text;
  domain @3 :Text;
  address @4 :Text;
  boot @5 :UInt64;
  nonce @6 :Data;
}

struct Beat {
  version @0 :UInt64;
  members @1 :UInt64;
  leaving @2 :Bool;
  quarantine @3 :UInt64;
  pressure @4 :UInt64;
  note @5 :Text;
}

struct View {
  host @0 :Text;
  number @1 :UInt32;
}

struct Member {
  kind @0 :UInt8;
  name @1 :Text;
  order @2 :UInt64;
  incarnation @3 :Text;
  leaving @4 :Bool;
  views @5 :List(View);
  domain @6 :Text;
  address @7 :Text;
  listed @8 :UInt64;
  listedLeaving @9 :Bool;
}

struct News {
  members @0 :List(Member);
}

struct Sums {
  sums @0 :List(UInt64);
}

struct Ask {
  number @0 :UInt64;
  subject @1 :Text;
  body @2 :Data;
}

struct Answer {
  number @0 :UInt64;
  taken @1 :Bool;
  body @2 :Data;
}

struct Message {
  union {
    beat @0 :Beat;
    news @1 :News;
    sums @2 :Sums;
    ask @3 :Ask;
    answer @4 :Answer;
    probe @5 :Sums;
  }
}

struct ConfigAsk {
  version @0 :UInt64;
  digest @1 :Data;
}

struct ConfigContent {
  version @0 :UInt64;
  digest @1 :Data;
  prefix @2 :UInt32;
  suffix @3 :UInt32;
  middle @4 :Data;
  # Marks of the writes of this version and of the last ones before it.
  mark @5 :Text;
  history @6 :List(Text);
}

struct StatusAsk {
  query @0 :Text;
  budgetMs @1 :UInt32;
}

struct HostStatus {
  host @0 :Text;
  domain @1 :Text;
  version @2 :UInt64;
  leaving @3 :Bool;
}

struct StatusAnswer {
  hosts @0 :List(HostStatus);
}
