"""Expected run times of tasks, learned from the runs that ended.

``regression`` predicts from the caller's estimate, ``quantiles`` keeps how far
predictions were off, and ``learner`` keeps both by queue and account.
``observations`` says what a run tells, however it ended, and ``stored``
converts what was learned to the record that a next holder reads.
"""
