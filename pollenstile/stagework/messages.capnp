@0xd5b18c0f4a7e2b63;
# Messages between entry hosts about stage work, sent as bodies of requests and
# their answers.

struct Group {
  request @0 :Text;
  service @1 :Text;
  step @2 :UInt16;
  count @3 :UInt16;
  key @4 :Text;
  inputs @5 :List(Text);
  resultBytes @6 :UInt64;
  urgency @7 :UInt16;
  # Remaining durations rather than times of day, because hosts' clocks differ.
  dueMs @8 :Int32;
  endsMs @9 :Int32;
  # Preferred failure domains, separated by commas; empty for no preference.
  near @10 :Text;
  # Whether a refusal would discard results of earlier steps.
  isLater @11 :Bool;
  # Whether a later step's queue is longer than usual.
  laterCrowded @12 :Bool;
  # Whether a host that does not own the queue has forwarded the group.
  passedOn @13 :Bool;
  # Fingerprint of the request, and the team that sent it.
  content @14 :Data;
  team @15 :Text;
}

struct GroupAnswer {
  handles @0 :List(Text);
  # Empty when handles are present.
  reason @1 :Text;
  retryMs @2 :UInt32;
  waitMs @3 :UInt32;
  # Whether the stage is short of memory for results.
  tight @4 :Bool;
  # Time since the caller's first arrival, as recorded by the owner of a first
  # step.
  waitedMs @5 :UInt32;
  # Whether retryMs is a promised return time, which gets no further jitter.
  promised @6 :Bool;
}

struct Release {
  service @0 :Text;
  handles @1 :List(Text);
  passedOn @2 :Bool;
}

struct Cancel {
  service @0 :Text;
  request @1 :Text;
}

struct Read {
  request @0 :Text;
  step @1 :UInt16;
}

# Query for a queue's backlog; answered by a GroupAnswer without handles.
struct Backlog {
  service @0 :Text;
}
