"""The job API: users submit, query and cancel jobs."""
