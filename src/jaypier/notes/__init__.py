"""Release notes: what operators may change, and the configuration that results."""
