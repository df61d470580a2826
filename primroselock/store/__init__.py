"""The store as primroselock sees it: table, objects, guard, VM list."""
