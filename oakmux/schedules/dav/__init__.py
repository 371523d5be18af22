"""CalDAV server (RFC 4791): serves calendars on a listener of its own."""
