"""Jobs: their submission, their scheduling on workers, and their recorded state."""
