"""Translation between protocol field names and the terms in the code, by counterpart."""
