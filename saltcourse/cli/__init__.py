"""The command line, with one module per group of commands.

It parses options, calls ``saltcourse.app`` and converts errors to exit codes.
"""
