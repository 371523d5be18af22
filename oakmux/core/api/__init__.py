"""What users ask for: submitting, querying and cancelling jobs."""
