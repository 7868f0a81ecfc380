"""The quorum of voters on the simulated network: random schedules of faults, checked from outside.

world       voters, their disks, and a stand-in for the dissemination
checker     safety: what must hold at every commit and answer
schedule    random faults; liveness: a connected majority commits within ``PUBLISH_LIMIT_SECONDS``
"""
