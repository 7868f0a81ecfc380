"""A fleet of the program's own cores on one machine: many to a worker process, over real UDP on loopback.

``scenario`` is read from a file, ``topology`` and ``timeline`` work it out for one size, ``runner`` starts a
``worker`` for each part of the fleet and an ``operator`` that publishes changes, and ``evaluation``
computes the metrics from the records that the receivers wrote. Never imported by the daemon.
"""
