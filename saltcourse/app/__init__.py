"""The programs, composed from the features that the configuration enables.

``proxy``, ``witness`` and ``control_member`` are the programs. ``address_failover`` and ``gossip`` create a
member of their subsystem, and run it in the proxy's process if the operator's file has the section. Modules
of disabled features are not imported. Only this package depends on all subsystems.
"""
