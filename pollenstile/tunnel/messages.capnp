@0xc8f2b7d15e60a493;
# Requests of a host for a connection that a peer opens to an upstream for it.

enum Result {
  # The upstream accepted a connection.
  opened @0;
  # Its address refuses connections.
  refused @1;
  # The upstream did not answer the peer, or the peer does not know it.
  unreachable @2;
  # The peer has no room for another connection.
  full @3;
  # The peer knows that its own path to the upstream is lost.
  cutOff @4;
}

struct Ask {
  # Address of the upstream.
  address @0 :Text;
  # Whether to keep the connection; otherwise only its result matters.
  keep @1 :Bool;
}

struct Answer {
  result @0 :Result;
  # Where to pick up the connection, and with which bytes.
  address @1 :Text;
  token @2 :Data;
  # Whether the peer tells only of closes after which the upstream lives on.
  confirms @3 :Bool;
}
