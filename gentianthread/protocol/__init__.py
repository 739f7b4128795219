"""Implement the protocol between nodes: messages, handshake, links, streams and HTTP headers."""
