"""Management of workers that send heartbeats to this controller: state, queues and commands."""
