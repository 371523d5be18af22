"""Durable state: records, the replica of them, and the buffered writes that change them."""
