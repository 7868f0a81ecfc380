"""Runs a fleet of simulated proxies on one machine and measures the cost and the speed of its control plane.

Worker processes host many members each. The members run the production protocol code and exchange real UDP
datagrams on loopback.

- ``scenario_file`` reads a ``scenario``; ``topology`` and ``timeline`` expand it for one fleet size.
- ``runner`` starts a ``worker`` for each part of the fleet and an ``operator`` that publishes changes.
- ``evaluation`` computes the metrics from the records that the workers wrote.

The daemon never imports this package.
"""
