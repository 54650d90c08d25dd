"""The operators' sheet and the configuration it becomes."""
