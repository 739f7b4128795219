"""Manage accepted configuration, state tables and policies in memory, without input or output."""
