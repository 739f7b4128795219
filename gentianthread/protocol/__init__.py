"""Give bytes their meaning: typed messages, handshake, streams and HTTP headers."""
