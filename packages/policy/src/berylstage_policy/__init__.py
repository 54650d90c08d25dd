"""Decision logic of the router under load, free of I/O and clocks."""
