"""The operators' address: HTTP/1.1, one request a connection, apart from the clients' port."""
