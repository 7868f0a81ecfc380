"""``python -m saltcourse`` and the command ``saltcourse``; without a sub-command it serves, see ``cli``."""

from saltcourse import signals


def main() -> None:
    """Hold the signals, then import and run the command line: the imports take a while on a slow machine."""
    signals.hold()
    from saltcourse.cli.main import main as command_line

    command_line(prog_name="saltcourse")


if __name__ == "__main__":
    main()
