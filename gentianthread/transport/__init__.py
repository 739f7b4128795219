"""Move bytes: peer connections, HTTP servers and clients, platform adapters."""
