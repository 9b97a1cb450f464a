"""Calls to the store through another VM, for a VM that has lost its own path to the store."""
