"""Who may start now: feasibility, fair sharing, concurrency."""
