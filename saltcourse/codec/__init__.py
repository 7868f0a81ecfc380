"""Parsers and writers of what goes over sockets. Pure: no sockets, no clock, no log."""
