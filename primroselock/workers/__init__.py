"""Protocol and adapter of the workers."""
