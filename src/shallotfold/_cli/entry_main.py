"""Start `shallotfold-entry`."""

from collections.abc import Sequence

from shallotfold._cli.common import EXIT_CODES_HELP
from shallotfold._cli.common import make_parser
from shallotfold._cli.common import run_service
from shallotfold._entry.process import EntryProcess
from shallotfold._settings.entry import EntrySettings
from shallotfold.platform.settings import load_platform_settings

_DESCRIPTION = """\
Accept requests to language models and plain services, schedule them by class,
workspace and target, and stream the responses of upstreams.

Callers use the paths of the OpenAI protocol (/v1/chat/completions,
/v1/completions, /v1/models) or the prefix of a plain route, with their key
as a bearer token. The header X-Request-Class selects the class, and
Idempotency-Key makes a retry safe. Load balancers use /healthz and /readyz.
"""
_EPILOG = f"""\
settings (TOML):
  host = "entry-1"
  data_centre = "westlands"
  caller_address = "10.0.0.1:8080"
  peer_address = "10.0.0.1:8081"      # omit for a single entry
  fleet_secret = "..."
  configuration_file = "config.json"  # only to start without a store
  [credentials]
  engines = "..."

--check also accepts the settings file of `shallotfold-gateway` (FILE.json).

signals:
  SIGTERM or SIGINT drains: /readyz fails, and callers are served until all
  requests have ended or for shutdown_timeout_s; a second signal ends the
  process at once.

{EXIT_CODES_HELP}"""


def main(argv: Sequence[str] | None = None) -> int:
    """Run the binary and return its exit code."""
    parser = make_parser("shallotfold-entry", _DESCRIPTION, _EPILOG)
    return run_service(
        parser,
        EntrySettings,
        EntryProcess,
        argv,
        check_by_suffix={".json": load_platform_settings},
    )
