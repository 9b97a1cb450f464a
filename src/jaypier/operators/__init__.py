"""HTTP API of a daemon for operators."""
