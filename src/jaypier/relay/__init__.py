"""Relays store requests through another VM while a VM has lost its own path to the store."""
