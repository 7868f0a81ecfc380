"""Address failover: members elect a lease holder, which announces the service address to the network.

``election`` implements the election without I/O, ``host`` runs it on sockets, and ``bgp_announcer`` and
``command_announcer`` announce and withdraw the address.
"""
