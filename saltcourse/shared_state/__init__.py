"""What the proxies of one tier know of each other, where the settings let them talk. No I/O, no clock.

``state.SharedState`` is what the balancing asks and tells; the other modules are its parts.
"""
