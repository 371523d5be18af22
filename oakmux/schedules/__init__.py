"""Cron tables and calendars: firings that submit jobs through the same core.

Off unless a controller is started with `--schedules FILE`; nothing here is imported then.
`docs/schedules-design.md` says why it is as it is, `docs/schedules.md` how to use it.
"""
