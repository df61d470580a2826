"""Measures how the resource use of each role grows with its load.

Each *part* runs one role at four or more load sizes and fits a straight
line through the measured points: the slope is the cost of one more worker,
task, request or peer, the intercept the cost of the idle role.  Processor
time and memory are read from /proc for the measured process; bytes are
counted by relays through which the connections of the process pass.
"""
