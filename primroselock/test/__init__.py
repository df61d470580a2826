"""Tests of the product."""
