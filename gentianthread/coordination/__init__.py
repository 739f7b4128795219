"""Combine nodes: request path, admission, routing, quota, membership, configuration."""
