"""Every decision on requests and backends, free of I/O: events in, actions out."""
