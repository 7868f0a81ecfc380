"""The programs: composes what the configuration switches on; the one package that knows all hosts.

``proxy``, ``witness`` and ``control_member`` are the programs. ``address_failover`` and ``gossip`` compose a
member of each subsystem, and run it beside the proxy where the operator's file has its section. A module of a
feature that is off is not imported.
"""
