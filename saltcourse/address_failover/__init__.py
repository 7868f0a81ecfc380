"""Which live member announces the service address: lease election, its transport, and the announcement.

``election`` decides (no I/O), ``host`` runs it on sockets, ``bgp_announcer`` and ``command_announcer``
bring its decisions to the network.
"""
