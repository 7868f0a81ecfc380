"""The gossip quorum on the simulated network, under random schedules of faults.

world       the voters, their disks, and a simple substitute for the dissemination
checker     safety invariants, checked at every commit and every result
schedule    random faults; liveness: a connected majority commits within ``PUBLISH_LIMIT_SECONDS``
"""
