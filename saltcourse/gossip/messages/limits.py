"""Size limits of messages, configuration and member tables."""

from __future__ import annotations

MAX_DATAGRAM_BYTES = 1_200  # with its headers within 1,280 bytes, the minimum MTU of IPv6
PACKET_OVERHEAD_BYTES = 28  # IPv4 and UDP headers, counted towards the byte budget
MAX_NAME_BYTES = 64  # member name, UTF-8
MAX_LABEL_BYTES = 16  # name of a zone or region, UTF-8
MAX_MEMBERS = 4_096  # records in the member table; the oldest departed members are evicted first
MAX_KEY_BYTES = 128  # configuration key, UTF-8
MAX_CHANGE_BYTES = 1_000  # encoded change; fits in one datagram, so that it is never split
MAX_CONFIGURATION_BYTES = 262_144  # encoded configuration
SYNC_BUCKETS = 32  # buckets of the member table's digests; a member's bucket is its id modulo this
