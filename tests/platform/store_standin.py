"""A fake of the platform's store with its calls, revisions and leases."""

import base64
import copy
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import attrs

from tests.gateway.backends import complete_response

PAGE_SIZE = 3


@attrs.define(eq=False)
class StoreStandIn:
    """Responds to requests as the platform's documentation says.

    Attributes:
        revision: Newest revision.
        oldest_kept_revision: Watches from an older revision get a 410.
        unanswered_calls: Names of calls that run but get no response.
        error_status: Status of all responses, unless 0.
        era: Number of restores, in a header of all responses.
        calls: Names of the calls so far.
        lifetime_ms_by_lease: Lifetime of each lease that was granted; `respond`
            doesn't end leases.
    """

    revision: int = 1
    oldest_kept_revision: int = 0
    error_status: int = 0
    era: int = 0
    unanswered_calls: set[str] = attrs.field(factory=set)
    calls: list[str] = attrs.field(factory=list)
    entries: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    history: list[dict[str, Any]] = attrs.field(factory=list)
    leases: set[int] = attrs.field(factory=set)
    lifetime_ms_by_lease: dict[int, int] = attrs.field(factory=dict)

    def respond(self, request: bytes) -> bytes:
        head, _, body = request.partition(b"\r\n\r\n")
        _, target, _ = head.split(b"\r\n")[0].decode().split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        verb = url.path.removeprefix("/shallotfold/").split("/")[0]
        self.calls.append(verb)
        if self.error_status:
            return self._respond(self.error_status, b"")
        content = json.loads(body) if body else {}
        handler = getattr(self, verb.replace("-", "_"))
        status, result = handler(query, content, url.path.rsplit("/", 1)[-1])
        if verb in self.unanswered_calls:
            return b""
        data = json.dumps(result).encode()
        return self._respond(status, data)

    def _respond(self, status: int, data: bytes) -> bytes:
        return complete_response(
            data, b"Store-Era: %d" % self.era, status=b"%d Status" % status
        )

    def back_up(self) -> "StoreStandIn":
        """Return a copy for `restore`."""
        return copy.deepcopy(self)

    def restore(self, backup: "StoreStandIn") -> None:
        """Go back to a copy; all that was written since is gone."""
        source = copy.deepcopy(backup)
        self.revision = source.revision
        self.entries = source.entries
        self.leases = source.leases
        self.history = []
        self.oldest_kept_revision = source.revision
        self.era += 1

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.revision += 1
        entry = {
            "Key": key,
            "ValueData": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": self.revision,
            "LeaseId": lease,
        }
        self.entries[key] = entry
        self.history.append(entry)

    def remove(self, key: str) -> None:
        self.revision += 1
        self.entries.pop(key, None)
        self.history.append(
            {"Key": key, "Revision": self.revision, "Deleted": True}
        )

    def end_lease(self, lease: int) -> None:
        self.leases.discard(lease)
        for key, entry in list(self.entries.items()):
            if entry["LeaseId"] == lease:
                self.remove(key)

    def kv_key(self, query: Any, content: Any, last: str) -> tuple[int, Any]:
        del content, last
        entry = self.entries.get(query["Key"])
        if entry is None:
            return 404, {}
        return 200, {**entry, "At": self.revision}

    def kv_range(self, query: Any, content: Any, last: str) -> tuple[int, Any]:
        del content, last
        keys = sorted(
            k
            for k in self.entries
            if k.startswith(query["PathPrefix"]) and k > query.get("After", "")
        )
        return 200, {
            "Entries": [self.entries[k] for k in keys[:PAGE_SIZE]],
            "HasMore": len(keys) > PAGE_SIZE,
            "At": self.revision,
        }

    def kv_watch(self, query: Any, content: Any, last: str) -> tuple[int, Any]:
        del content, last
        after = int(query["After"])
        if after < self.oldest_kept_revision:
            return 410, {}
        events = [
            e
            for e in self.history
            if e["Revision"] > after
            and e["Key"].startswith(query["PathPrefix"])
        ]
        return 200, {"events": events, "At": self.revision}

    def kv_txn(self, query: Any, content: Any, last: str) -> tuple[int, Any]:
        del query, last
        for row in content["Expected"]:
            entry = self.entries.get(row["Key"])
            if (entry["Revision"] if entry else 0) != row["Revision"]:
                return 412, {"Entries": [entry] if entry else []}
        for write in content["Write"]:
            if write["LeaseId"] and write["LeaseId"] not in self.leases:
                return 404, {}
            value = base64.b64decode(write["ValueData"])
            self.put(write["Key"], value, write["LeaseId"])
        for key in content["Removals"]:
            self.remove(key)
        return 200, {"Revision": self.revision}

    def kv_lease(self, query: Any, content: Any, last: str) -> tuple[int, Any]:
        del query, last
        lease = 1000 + len(self.calls)
        self.leases.add(lease)
        self.lifetime_ms_by_lease[lease] = content["LifetimeMs"]
        return 200, {"LeaseId": lease, "LifetimeMs": content["LifetimeMs"]}

    def kv_keep(self, query: Any, content: Any, last: str) -> tuple[int, Any]:
        del query, content
        return (200 if int(last) in self.leases else 404), {"LifetimeMs": 1000}

    def kv_lease_end(
        self, query: Any, content: Any, last: str
    ) -> tuple[int, Any]:
        del query, content
        self.end_lease(int(last))
        return 200, {}
