"""Provide the command-line programs; they parse arguments and call the lower layers."""
