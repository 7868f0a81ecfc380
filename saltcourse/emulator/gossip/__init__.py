"""Gossip nodes on the simulated network, judged from outside: ``world`` has the fleet, ``judge`` what is
required of it, ``schedule`` random faults. ``python -m saltcourse.emulator.gossip --seeds A-B`` plays many.
"""
