"""Read and validate settings from flags and environment variables."""
