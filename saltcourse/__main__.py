"""``python -m saltcourse`` and the command ``saltcourse``; alone it serves, see ``cli``."""

from saltcourse import signals


def main() -> None:
    """Hold the signals first: the imports behind it take a while on a small part of a core."""
    signals.hold()
    from saltcourse.cli.main import main as command_line

    command_line(prog_name="saltcourse")


if __name__ == "__main__":
    main()
