"""The operators' second address: HTTP/1.1, one call a connection, apart from the clients' port."""
