"""Messages between daemons: relayed requests to the store, notifications of the leader."""
