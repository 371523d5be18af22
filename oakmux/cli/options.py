"""The addresses of the controllers, from options or from the operator's INI file."""

import configparser
from pathlib import Path

from oakmux import settings
from oakmux.cli.client import EXIT_BAD, fail

DEFAULT_INI = "~/.config/oakmux/oakmux.ini"


def load_ini(path: str | None) -> list[str]:
    """Return the addresses of the controllers in the operator's INI file."""
    file = Path(path or DEFAULT_INI).expanduser()
    if not file.exists():
        if path:
            fail(f"{path}: no such file", EXIT_BAD)
        return []
    parser = configparser.ConfigParser()
    try:
        parser.read_string(file.read_text(encoding="utf-8"))
    except (configparser.Error, UnicodeDecodeError, OSError) as error:
        fail(f"{file}: {str(error).splitlines()[0]}", EXIT_BAD)
    servers = parser.get("oakmux", "servers", fallback="").replace(",", " ").split()
    for server in servers:
        check_server(server, f"{file}: servers")
    return servers


def check_server(server: str, source: str) -> None:
    """Exit with an error if an address is not HOST:PORT."""
    try:
        settings.split_addr(server)
    except ValueError as error:
        fail(f"{source}: {error}", EXIT_BAD)
