"""The load balancing decisions, without I/O: the balancer receives events and returns actions."""
