"""Jobs: what callers hand in, how it is scheduled on workers, and what is kept of it."""
