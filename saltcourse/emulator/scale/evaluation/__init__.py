"""Computes the metrics of a scale run from its records.

``evaluate`` composes ``metrics.RunMetrics`` from one module for each concern: ``costs`` (bytes, CPU, memory),
``changes`` (propagation of configuration changes), ``failures`` (failure detection and false alarms) and
``recovery`` (restarted members, staleness, agreement after a network partition).
"""
