"""Explains where a job would go now, and why.

The placements of the next round are rehearsed on a copy of the blackboard, by
the functions of the round itself.  What comes of it, and the first rule that
excludes each worker, is returned as a record; the board stays as it is.
"""
