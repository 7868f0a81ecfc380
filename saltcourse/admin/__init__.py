"""The admin server at the operators' address: HTTP/1.1, one request per connection, on its own port."""
