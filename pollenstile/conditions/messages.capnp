@0xd5a1c7e2904b6f38;
# Measured speeds of engines, exchanged between the hosts of a failure domain.

struct Rows {
  # Keys of incarnations, eight bytes each.
  keys @0 :Data;
  # Mean time of the measurements of each, in thousandths of the expected time.
  ratios @1 :List(UInt16);
  # Weight of each, in tenths of a measurement.
  weights @2 :List(UInt8);
}

struct Ask {
  # Start of the asked reader's process whose changes are known, and the number
  # of the newest one.
  boot @0 :UInt64;
  since @1 :UInt32;
  measured @2 :Rows;
}

struct Answer {
  boot @0 :UInt64;
  newest @1 :UInt32;
  merged @2 :Rows;
}
