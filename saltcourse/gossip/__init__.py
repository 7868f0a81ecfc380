"""Membership, configuration and connection counts of a large fleet.

The cost per member does not grow with the size of the fleet. The package is imported only if the operator's
file enables gossip. ``messages`` defines the records that members exchange, ``node`` combines the protocols
of one member. Only ``host``, ``store``, ``event_log`` and ``admin`` depend on I/O or asyncio.
"""
