"""Composes the programs of what the configuration switches on; the one package that knows all hosts."""
