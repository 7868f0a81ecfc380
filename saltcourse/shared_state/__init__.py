"""State that the proxies of one tier share by exchanging messages, if the settings allow it.

The package does no I/O and reads no clock. ``state.SharedState`` is the interface for the balancer; the other
modules implement it.
"""
