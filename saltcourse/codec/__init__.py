"""Parsers and encoders of the wire formats. They are pure: they use no sockets, clock or log."""
