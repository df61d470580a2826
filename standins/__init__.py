"""Stand-ins for the systems that primroselock meets."""
