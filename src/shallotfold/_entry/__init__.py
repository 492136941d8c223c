"""Run an entry: accept callers, decide, dispatch and stream answers.

`reducer.reduce` turns events into effects and does no I/O; the shell around
it runs the effects.
"""
