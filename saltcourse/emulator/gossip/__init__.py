"""Whole gossip nodes on the simulated network, checked from outside.

    world       the fleet: hosts with disks, operators, faults
    network     datagrams between zones and regions
    checker     the invariants
    schedule    random faults; scenario: building blocks of named ones

``python -m saltcourse.emulator.gossip --seeds A-B`` plays many schedules.
"""
