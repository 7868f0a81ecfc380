"""Protobuf schemas, and the modules that ``./dev schema`` generates. Only enabled features import them."""
