@0xc1f7a35d20e94b68;
# Requests for tokens of upstreams' rates and their answers, and news of rates,
# exchanged between hosts as bodies of requests and answers.

struct TokenRequest {
  name @0 :Text;
  domain @1 :Text;
  rate @2 :Float64;
  # Time since the answer that stated the rate.
  ageMs @3 :UInt32;
  wanted @4 :UInt16;
  unused @5 :UInt16;
}

struct TokenRequests {
  rows @0 :List(TokenRequest);
}

struct TokenGrant {
  name @0 :Text;
  rate @1 :Float64;
  ageMs @2 :UInt32;
  count @3 :UInt16;
  waitMs @4 :UInt16;
  validMs @5 :UInt16;
  spacingMs @6 :UInt32;
  allocator @7 :Bool;
}

struct TokenGrants {
  rows @0 :List(TokenGrant);
}

struct Rate {
  name @0 :Text;
  # Requests a second; 0 if the upstream states none any more.
  rate @1 :Float64;
  ageMs @2 :UInt32;
}

struct Rates {
  rows @0 :List(Rate);
}
