@0xa93e5c17d08b42f6;
# What hosts tell each other of requests that crash upstreams; carried as bodies
# of asks and answers. Fingerprints are raw bytes.

struct Suspect {
  fingerprint @0 :Data;
  team @1 :Text;
  ranMs @2 :UInt32;
}

struct Report {
  incarnation @0 :Text;
  service @1 :Text;
  host @2 :Text;
  suspects @3 :List(Suspect);
}

struct Verdict {
  fingerprint @0 :Data;
  team @1 :Text;
  service @2 :Text;
  crashes @3 :UInt16;
  # Unix milliseconds; of two words the later one holds.
  changed @4 :UInt64;
  held @5 :Bool;
  # For how much longer the word is kept.
  leftMs @6 :UInt32;
}

struct News {
  reports @0 :List(Report);
  # Incarnations that answer.
  alive @1 :List(Text);
  # Fingerprints of requests that ran to their end.
  cleared @2 :List(Data);
  verdicts @3 :List(Verdict);
}
