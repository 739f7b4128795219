"""Hold accepted configuration, tables and policies in memory, without input or output."""
