"""``python -m saltcourse`` alone serves; see ``cli``."""

from saltcourse import signals

signals.hold()  # before the imports, which take a while on a small part of a core

from saltcourse.cli import main  # noqa: E402

main(prog_name="saltcourse")
