"""Decisions of the scheduler: pure, without I/O, clock, or knowledge of leader and store."""
