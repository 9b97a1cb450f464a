"""Which daemons are alive, and the messages between them."""
