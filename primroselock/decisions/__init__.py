"""Decisions on jobs: pure functions of a blackboard, settings and now."""
