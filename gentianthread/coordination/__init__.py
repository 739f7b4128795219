"""Coordinate nodes: request path, admission, routing, quota, membership and configuration."""
