"""A scale run: real controllers beside hollow workers, a state service, a cloud and users.

All processes run on this machine and speak PROTOCOL over loopback. Hollow workers report, keep
leases and run tasks that do nothing; thousands of them share a process. The ledger that they and
the users keep is checked against the rules afterwards, without any word of the controllers.
"""
