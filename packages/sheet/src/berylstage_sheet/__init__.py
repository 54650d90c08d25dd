"""Read the operators' sheet into a configuration and write it back."""
