"""Bounds of what travels between members and of what a member keeps. Bytes unless stated otherwise."""

from __future__ import annotations

MAX_DATAGRAM_BYTES = 1_200  # fits an IPv6 path of 1,280 bytes with its headers
PACKET_OVERHEAD_BYTES = 28  # IPv4 and UDP headers, counted towards the byte budget
MAX_NAME_BYTES = 64  # of a member
MAX_LABEL_BYTES = 16  # of a zone or region
MAX_MEMBERS = 4_096  # records kept, departed ones included; the oldest departed ones are dropped
MAX_KEY_BYTES = 128  # of one configuration key
MAX_CHANGE_BYTES = 1_000  # of one change encoded: it fits one datagram, so it never arrives in part
MAX_CONFIGURATION_BYTES = 262_144  # of the whole configuration encoded
SYNC_BUCKETS = 32  # of the membership digest: member id modulo this
