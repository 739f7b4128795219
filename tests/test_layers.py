"""Check the direction of imports between the layers of the package."""

import ast
from pathlib import Path

from .base import TestCase

PACKAGE = Path(__file__).resolve().parent.parent / "gentianthread"

# Layers from highest to lowest. A layer may import itself, lower layers and the root modules.
LAYERS = [
    "commands",
    "standins",
    "platform",
    "coordination",
    "protocol",
    "transport",
    "state",
]


def imported_layers(path: Path) -> set[str]:
    """Return the layers imported by a module, with relative or absolute imports."""
    layers = set()
    depth = len(path.relative_to(PACKAGE).parts)
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == depth and node.module:
            layers.add(node.module.split(".")[0])
        elif isinstance(node, ast.ImportFrom) and node.level == depth:
            layers.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and (node.module or "").startswith("gentianthread."):
            layers.add(node.module.split(".")[1])
        elif isinstance(node, ast.Import):
            names = [alias.name.split(".") for alias in node.names]
            layers.update(name[1] for name in names if name[0] == "gentianthread" and len(name) > 1)
    return layers & set(LAYERS)


class TestLayers(TestCase):
    def test_layers_import_lower_layers_only(self):
        """Guards against a lower layer that depends on a higher one."""
        violations = []
        for path in PACKAGE.rglob("*.py"):
            parts = path.relative_to(PACKAGE).parts
            layer = parts[0] if len(parts) > 1 else None
            allowed = LAYERS[LAYERS.index(layer) :] if layer else []
            violations += [f"{path.name}: {name}" for name in imported_layers(path) - set(allowed)]
        self.assertEqual([], violations)

    def test_imports_inside_the_package_are_relative(self):
        """Guards against modules that import their own package by its absolute name."""
        violations = [
            path.name
            for path in PACKAGE.rglob("*.py")
            if "from gentianthread" in path.read_text()
            or "import gentianthread" in path.read_text()
        ]
        self.assertEqual([], violations)
