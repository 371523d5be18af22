"""A scale run: real controllers with simulated workers, state service, cloud and users.

All processes run on this machine and use the real wire protocol over loopback. Simulated
("hollow") workers send heartbeats, keep leases and run tasks that do nothing; thousands of them
share a process. Afterwards the events that workers and users logged are checked against the
rules; nothing that controllers report is used for this.
"""
