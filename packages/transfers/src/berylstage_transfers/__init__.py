"""HTTP calls over tornado's curl client, sent at most once and cancellable."""
