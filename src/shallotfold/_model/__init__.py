"""Hold the domain data that every process shares."""
