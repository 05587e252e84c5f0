@0xa93e5c17d08b42f6;
# Updates about requests that crash upstreams, exchanged between hosts as bodies
# of requests and answers. Fingerprints are raw bytes.

struct Suspect {
  fingerprint @0 :Data;
  team @1 :Text;
  ranMs @2 :UInt32;
  # Prompt parts that other requests may share.
  parts @3 :List(Data);
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
  # Unix milliseconds of the decision; the later of two verdicts wins.
  changed @4 :UInt64;
  held @5 :Bool;
  # Remaining time for which the verdict is kept.
  leftMs @6 :UInt32;
  isPart @7 :Bool;
}

struct PartProof {
  part @0 :Data;
  service @1 :Text;
}

struct News {
  reports @0 :List(Report);
  # Incarnations that answer requests.
  alive @1 :List(Text);
  # Fingerprints of requests that ran to completion.
  cleared @2 :List(Data);
  verdicts @3 :List(Verdict);
  # Suspect prompt parts on which upstreams have answered.
  proofs @4 :List(PartProof);
}
