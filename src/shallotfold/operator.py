"""Public library to build, check and print configurations."""

from shallotfold._errors import InvalidInputError
from shallotfold._errors import UsageError
from shallotfold._model.configuration import Budget
from shallotfold._model.configuration import Configuration
from shallotfold._model.configuration import KeyDigest
from shallotfold._model.configuration import Limits
from shallotfold._model.configuration import Offer
from shallotfold._model.configuration import RequestClass
from shallotfold._model.configuration import Route
from shallotfold._model.configuration import Targets
from shallotfold._model.configuration import Upstream
from shallotfold._model.configuration import Workspace
from shallotfold._operator.builder import ConfigurationBuilder
from shallotfold._operator.builder import DataCentre
from shallotfold._operator.keys import NewKey
from shallotfold._operator.keys import digest_key
from shallotfold._operator.keys import new_key

__all__ = [
    "Budget",
    "Configuration",
    "ConfigurationBuilder",
    "DataCentre",
    "InvalidInputError",
    "KeyDigest",
    "Limits",
    "NewKey",
    "Offer",
    "RequestClass",
    "Route",
    "Targets",
    "Upstream",
    "UsageError",
    "Workspace",
    "digest_key",
    "new_key",
]
