"""Types and rules shared by every slice; nothing in this package does any I/O."""
