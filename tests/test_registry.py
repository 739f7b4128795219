from gentianthread.errors import UnknownEntryError
from gentianthread.registry import Registry

from .base import TestCase


class TestRegistry(TestCase):
    def test_unknown_name_tells_the_known_ones(self):
        """Guards against an error that leaves the operator guessing names."""
        registry = Registry("limiter")
        registry.register("static")(object)
        error = self.assertRaises(UnknownEntryError, registry.get, "sttaic")
        self.assertEqual(["static"], error.known)

    def test_name_is_taken_once(self):
        """Guards against one implementation that silently replaces another."""
        registry = Registry("limiter")
        registry.register("static")(object)
        self.assertRaises(ValueError, registry.register("static"), object)
