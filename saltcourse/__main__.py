"""Entry point of ``python -m saltcourse`` and of the command ``saltcourse`` (see ``saltcourse.cli``)."""

from saltcourse import signals


def main() -> None:
    """Hold signals, then import and run the command line, because the imports are slow on a small machine."""
    signals.hold()
    from saltcourse.cli.main import main as command_line

    command_line(prog_name="saltcourse")


if __name__ == "__main__":
    main()
