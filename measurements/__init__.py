"""Measurements: each program prints one JSON line for each figure, and names its run."""
