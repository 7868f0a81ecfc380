"""The command line: one module for each group of commands.

It parses options, calls ``saltcourse.app``, and turns errors into exit codes.
"""
