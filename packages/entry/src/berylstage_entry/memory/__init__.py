"""Memory of an entry VM that bodies, answers and unread input share."""
