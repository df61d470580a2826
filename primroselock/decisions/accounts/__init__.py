"""Decisions about the shares and limits of client accounts."""
