"""The daemon that runs on each entry VM."""
