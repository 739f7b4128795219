from gentianthread.errors import UnknownEntryError
from gentianthread.registry import Registry

from .base import TestCase


class TestRegistry(TestCase):
    def test_unknown_name_error_lists_known_names(self):
        """Guards against an error message that does not list the valid names."""
        registry = Registry("limiter")
        registry.register("static")(object)
        error = self.assertRaises(UnknownEntryError, registry.get, "sttaic")
        self.assertEqual(["static"], error.known)

    def test_name_cannot_be_registered_twice(self):
        """Guards against an implementation that silently replaces another."""
        registry = Registry("limiter")
        registry.register("static")(object)
        self.assertRaises(ValueError, registry.register("static"), object)
