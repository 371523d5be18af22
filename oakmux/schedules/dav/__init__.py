"""Calendars over CalDAV (RFC 4791): a listener of its own for clients that speak it."""
