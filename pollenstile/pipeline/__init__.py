"""How one request runs: stages, deadlines, attempts, outcomes."""
