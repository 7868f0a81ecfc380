"""Models of what surrounds the program, in virtual time. Nothing that the daemon runs imports it."""
