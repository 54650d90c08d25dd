"""HTTP router of an entry VM for targets that check fence tokens themselves."""
