"""Client of the targets behind the router."""
