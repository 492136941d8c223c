"""Route language-model traffic with service levels and priorities."""

from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._errors import ShallotfoldError
from shallotfold._errors import UsageError

__all__ = [
    "Fault",
    "InvalidInputError",
    "ShallotfoldError",
    "UsageError",
    "__version__",
]

__version__ = "0.1.0"
