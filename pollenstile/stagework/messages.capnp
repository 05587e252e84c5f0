@0xd5b18c0f4a7e2b63;
# Stage work between entry hosts; carried as bodies of asks and answers.

struct Group {
  request @0 :Text;
  service @1 :Text;
  step @2 :UInt16;
  count @3 :UInt16;
  key @4 :Text;
  inputs @5 :List(Text);
  resultBytes @6 :UInt64;
  urgency @7 :UInt16;
  # Times left, not times of day: hosts' clocks differ.
  dueMs @8 :Int32;
  endsMs @9 :Int32;
  # Failure domains in which it should be made, by commas; empty for any.
  near @10 :Text;
  # Work of earlier steps would be thrown away with it.
  isLater @11 :Bool;
  # A later step's queue is longer than usual.
  laterCrowded @12 :Bool;
  # Whether a host that does not own the queue has passed it on.
  passedOn @13 :Bool;
  # Fingerprint of the request, and the team that sent it.
  content @14 :Data;
  team @15 :Text;
}

struct GroupAnswer {
  handles @0 :List(Text);
  # Empty when the handles are there.
  reason @1 :Text;
  retryMs @2 :UInt32;
  waitMs @3 :UInt32;
  # Whether the stage is short of room for results.
  tight @4 :Bool;
  # Since the caller's first arrival, as the owner of a first step knows it.
  waitedMs @5 :UInt32;
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

# How long is a queue; answered by a GroupAnswer without handles.
struct Backlog {
  service @0 :Text;
}
