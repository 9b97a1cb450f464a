"""Types and utilities shared by all packages; nothing in this package performs I/O."""
