"""Protobuf schemas and what ``./dev schema`` makes of them. Imported only by what is switched on."""
