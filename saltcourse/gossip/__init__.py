"""Membership, configuration and sums of a large fleet, at a cost per member that does not grow with it.

Off unless the operator's file switches it on, and not imported then. ``messages`` has the vocabulary,
``node`` joins the parts; everything but ``host`` and ``store`` is free of I/O.
"""
