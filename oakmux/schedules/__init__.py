"""Cron tables and calendars, whose firings submit jobs through the same core.

Imported only if a controller is started with `--schedules FILE`.
`docs/schedules-design.md` gives the reasons of the design, `docs/schedules.md` the usage.
"""
