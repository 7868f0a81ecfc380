"""Complete gossip nodes on the simulated network.

    world       the fleet: hosts with disks, operators, faults
    network     datagrams within and between zones and regions
    checker     the invariants
    schedule    random schedules of faults
    scenario    building blocks of hand-written scenarios

``python -m saltcourse.emulator.gossip --seeds A-B`` runs many random schedules.
"""
