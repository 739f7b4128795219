"""Run the sidecars of a mesh: request path, links between peers, documents and rate limits."""
