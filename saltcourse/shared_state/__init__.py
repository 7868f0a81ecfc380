"""What the proxies of one tier know of each other, where the settings let them talk. No I/O, no clock.

``state.SharedState`` is the interface for the balancing; the other modules are its parts.
"""
