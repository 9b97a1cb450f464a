"""Entry VMs: where callers hand jobs in, and the daemon that serves them."""
