"""Scheduling decisions: pure functions of blackboard, settings and time."""
