from hypothesis import settings

settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
settings.register_profile("explore", deadline=None, max_examples=1000)
settings.load_profile("ci")
