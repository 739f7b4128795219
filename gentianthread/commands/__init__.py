"""Parse command lines and call the verbs of the lower layers."""
