"""Stand-ins for the external systems that primroselock works with."""
