"""What the proxies of one tier know of each other, where the settings let them talk: no I/O, no clock."""
