"""Pure decisions under load."""
