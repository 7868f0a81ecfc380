"""Parsers and encoders of what goes over sockets. Pure: no sockets, no clock, no log."""
