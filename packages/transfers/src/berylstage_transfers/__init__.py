"""HTTP calls by tornado's curl client: sent once, cancelled at once."""
