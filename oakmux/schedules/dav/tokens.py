"""Access tokens of CalDAV clients: each belongs to one team and is stored as a salted hash.

A token is 32 random bytes, made by `oakmux schedule token`. It cannot be guessed, so one fast
salted hash is enough; a slow hash would only cost controller time.
"""

import base64
import hashlib
import hmac
import secrets
from pathlib import Path

from oakmux import constants


class TokenFileError(ValueError):
    """An unusable token file; the message names the line and the reason."""


def _hash(salt: bytes, token: str) -> bytes:
    return hashlib.blake2b(token.encode(), salt=salt, person=b"oakmux-dav").digest()


def make(team: str) -> tuple[str, str]:
    """Return a new token and its line for the token file."""
    token = secrets.token_urlsafe(constants.TOKEN_BYTES)
    salt = secrets.token_bytes(constants.SALT_BYTES)
    return token, f"{team} {salt.hex()} {_hash(salt, token).hex()}"


class Tokens:
    """Maps tokens to teams. Verified tokens are cached under a keyed digest."""

    def __init__(self, entries: list[tuple[str, bytes, bytes]]) -> None:
        self.entries = entries
        self._secret = secrets.token_bytes(constants.TOKEN_BYTES)
        self._verified: dict[bytes, str] = {}

    def team(self, token: str) -> str | None:
        """Return the team of a token, or None. Checks all entries even after a match."""
        cache_key = hmac.digest(self._secret, token.encode(), "sha256")
        if cache_key in self._verified:
            return self._verified[cache_key]
        matching_team = None
        for team, salt, hashed in self.entries:
            if hmac.compare_digest(_hash(salt, token), hashed):
                matching_team = team
        if matching_team is not None:
            if len(self._verified) >= constants.CACHED_TOKENS:
                self._verified.clear()
            self._verified[cache_key] = matching_team
        return matching_team


def credentials(header: str) -> str | None:
    """Return the token in an Authorization header: Basic (as the password) or Bearer."""
    scheme, _, value = header.partition(" ")
    if scheme.lower() == "bearer":
        return value.strip() or None
    if scheme.lower() != "basic":
        return None
    try:
        text = base64.b64decode(value.strip(), validate=True).decode()
    except ValueError:
        return None
    return text.partition(":")[2] or None


def load(path: str) -> Tokens:
    """Read a token file: one TEAM SALT HASH per line, # for comments; raises TokenFileError."""
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as error:
        raise TokenFileError(f"tokens: {error}") from None
    entries = []
    for number, line in enumerate(lines, 1):
        fields = line.split("#")[0].split()
        if not fields:
            continue
        try:
            team, salt, hashed = fields
            entry = (team, bytes.fromhex(salt), bytes.fromhex(hashed))
        except ValueError:
            raise TokenFileError(f"tokens: {path}, line {number}: not TEAM SALT HASH") from None
        if len(entry[1]) != constants.SALT_BYTES or len(entry[2]) != 64:
            raise TokenFileError(f"tokens: {path}, line {number}: wrong length of salt or hash")
        entries.append(entry)
    return Tokens(entries)
