"""HTTP by ``h11``: client, server, whole messages."""
