"""Stand in for the platform and for targets in the demo, tests and benchmarks."""
