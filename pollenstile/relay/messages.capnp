@0xc1f2a7740b6de915;
# What a host has read of the store, for the hosts that follow it; carried as
# bodies of asks and answers.

struct Asked {
  # Incarnation of the source whose numbers the cursors have; empty for none.
  source @0 :Text;
  configRevision @1 :UInt64;
  cursors @2 :List(Cursor);
  # How long the answer may be held while there is nothing new.
  holdMs @3 :UInt32;
}

struct Cursor {
  kind @0 :Text;
  # Number of the newest change that was taken; 0 asks for all objects.
  number @1 :UInt64;
}

struct Word {
  source @0 :Text;
  # False when the source has not heard from the store lately itself.
  fit @1 :Bool;
  # Time since the source's proof was true, less the time that it held the ask.
  agedMs @2 :Int64;
  configRevision @3 :UInt64;
  # Empty unless the asker's revision is older and unknown here; JSON.
  config @4 :Data;
  news @5 :List(KindNews);
  # Up to which the source knows the configuration; 0 when it can't say.
  seen @6 :UInt64;
  # From the asker's configuration to the newest one; empty digest for none.
  patch @7 :Patch;
}

struct Patch {
  # Bytes kept from the start and the end of the older text.
  prefix @0 :UInt32;
  suffix @1 :UInt32;
  # Edits of what lies between them, compressed.
  middle @2 :Data;
  # Of the newer text.
  digest @3 :Data;
}

struct KindNews {
  kind @0 :Text;
  number @1 :UInt64;
  revision @2 :UInt64;
  # Whether the changes are all objects that there are.
  whole @3 :Bool;
  changes @4 :List(Change);
}

struct Change {
  name @0 :Text;
  version @1 :UInt64;
  # JSON; empty when the object was deleted.
  value @2 :Data;
}
