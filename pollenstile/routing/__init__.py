"""Which upstream takes a call: load, affinity, ejection."""
