"""Relays requests to the store through another VM while a VM's direct path to it is down."""
