"""Tests of the scheduler and of its stand-ins and tools."""
