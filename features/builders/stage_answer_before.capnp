@0xc21e5d7b90a8f346;
# Answer about a group of pieces before return times were promised.

struct GroupAnswer {
  handles @0 :List(Text);
  reason @1 :Text;
  retryMs @2 :UInt32;
  waitMs @3 :UInt32;
  tight @4 :Bool;
  waitedMs @5 :UInt32;
}
