"""HTTP client and server on ``h11``; messages are held in memory as a whole."""
