"""Durable state: records in the store, their local replica, and the buffered writes."""
