"""Test a small fleet of real node processes against faults."""
