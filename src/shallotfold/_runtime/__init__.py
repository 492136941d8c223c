"""Run a process: event loop, signals, logs and metrics."""
