"""HTTP interface of a daemon, for callers and operators."""
