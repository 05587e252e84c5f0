@0xc1f2a7740b6de915;
# Messages between a store reader and the hosts that follow it, carried as
# bodies of peer requests and answers.

struct Asked {
  # Incarnation of the source that assigned the cursor numbers; empty for none.
  source @0 :Text;
  configRevision @1 :UInt64;
  cursors @2 :List(Cursor);
  # How long the source may hold the answer while nothing has changed.
  holdMs @3 :UInt32;
  # Eras are one higher than the store's, and 0 when they are not told; the
  # revisions beside them count within their era.
  configEra @4 :UInt32;
  # Operator's version of the configuration in force; 0 for none.
  configVersion @5 :UInt64;
}

struct Cursor {
  kind @0 :Text;
  # Number of the newest change that was applied; 0 requests all objects.
  number @1 :UInt64;
}

struct Word {
  source @0 :Text;
  # False when the source itself has had no recent answer from the store.
  fit @1 :Bool;
  # Time since the source verified its configuration, less the time for which
  # it held the request.
  agedMs @2 :Int64;
  configRevision @3 :UInt64;
  # JSON; empty unless the requester's revision is older and no patch from it
  # is available.
  config @4 :Data;
  news @5 :List(KindNews);
  # Store revision up to which the source knows the configuration; 0 when
  # unknown.
  seen @6 :UInt64;
  # From the requester's configuration to the newest one; empty digest for none.
  patch @7 :Patch;
  configEra @8 :UInt32;
  seenEra @9 :UInt32;
  # Operator's version of the configuration in force.
  configVersion @10 :UInt64;
  # The newest era that the source has heard of.
  era @11 :UInt32;
  # Time since the source's last answered call of a store that has returned from
  # a copy and whose answers prove nothing yet, plus 1; 0 otherwise.
  settlingMs @12 :UInt32;
}

struct Patch {
  # Numbers of bytes kept at the start and at the end of the older text.
  prefix @0 :UInt32;
  suffix @1 :UInt32;
  # Compressed edits of the text between prefix and suffix.
  middle @2 :Data;
  # Digest of the newer text.
  digest @3 :Data;
}

struct KindNews {
  kind @0 :Text;
  number @1 :UInt64;
  revision @2 :UInt64;
  # Whether the changes are the full list of objects.
  whole @3 :Bool;
  changes @4 :List(Change);
  era @5 :UInt32;
}

struct Change {
  name @0 :Text;
  version @1 :UInt64;
  # JSON; empty when the object was deleted.
  value @2 :Data;
  era @3 :UInt32;
  # Whether the first list after a return of the store shows the change.
  afterReturn @4 :Bool;
}
