"""Stand-ins of the platform, the upstreams and the clients, for the review cases."""
