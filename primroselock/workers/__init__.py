"""Worker protocol and the clients that speak it."""
