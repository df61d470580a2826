"""Measures what each role costs as its load grows.

Each *part* loads one role at four sizes or more and fits a straight line
through the points: the slope is the cost of one more worker, task,
request or peer, the intercept what the role costs at rest.  Processor
time and memory are read from /proc of the measured process; bytes are
counted by relays that the process's connections pass through.
"""
