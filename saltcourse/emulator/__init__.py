"""Simulations of hosts, networks and remote systems for tests and benchmarks. The daemon never imports it."""
