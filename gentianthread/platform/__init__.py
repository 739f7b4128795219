"""Adapt to the users' platform: its names, formats and calls, without any decision logic."""

# Importing `names` and `store` registers the adapter.
from . import documents, names, store  # noqa: F401
