"""Write day files with every fault and planned change of the users' platform.

Some files run events one after another, of kinds that a site's own list may
lack. Others run events of different files in pairs, at nearly the same time.
The users' bench runs each file on every site that supports its kinds.
"""

import argparse
import pathlib
import random

DEFAULT_FOLDER = pathlib.Path(__file__).parents[1] / "deploy" / "days"
DAY_LENGTH_S = 42
# An event as the users' pages list it: `kind`, `how` and the other fields.
Event = tuple[str, str, str]
FAULTS: dict[str, list[Event]] = {
    "cut-servers": [
        ("srv_cut", "", "share = 0.25, for_s = 5.0"),
        ("srv_cut", "fronts", "share = 0.3, x = 0.3, for_s = 5.0"),
        ("srv_cut", "reborn", "share = 0.2, for_s = 4.0"),
    ],
    "cut-some-paths": [
        ("srv_cut", "some", "share = 0.3, x = 0.4, for_s = 6.0"),
        ("srv_cut", "some lossy", "share = 0.3, x = 0.4, for_s = 6.0"),
        ("srv_cut", "one_way", "share = 0.2, for_s = 5.0"),
        ("srv_cut", "reset", "share = 0.2, for_s = 5.0"),
    ],
    "reused-addresses": [
        ("replace_with_reuse", "", "share = 0.2"),
        ("replace_with_reuse", "drain", "share = 0.2"),
        ("replace_with_reuse", "dark", "share = 0.2"),
        ("srv_crash", "gone", "share = 0.2"),
    ],
    "dark-and-grey": [
        ("srv_crash", "dark", "share = 0.2, for_s = 5.0"),
        ("srv_grey", "hang", "share = 0.2, x = 0.5, for_s = 6.0"),
        ("srv_grey", "mute", "share = 0.2, x = 0.5, for_s = 6.0"),
        ("srv_grey", "reset", "share = 0.3, x = 0.5, for_s = 6.0"),
    ],
    "grey-and-slow": [
        ("srv_grey", "shed", "share = 0.3, x = 0.6, for_s = 6.0"),
        ("srv_grey", "busy", "share = 0.3, x = 0.6, for_s = 6.0"),
        ("srv_grey", "slow", "share = 0.3, x = 8.0, for_s = 6.0"),
        ("srv_slow", "", "share = 0.3, x = 6.0, for_s = 6.0"),
    ],
    "lying-and-flapping": [
        ("srv_lying_health", "errors", "share = 0.3, for_s = 6.0"),
        ("srv_lying_health", "hang", "share = 0.3, for_s = 6.0"),
        ("srv_flap", "", "share = 0.3, for_s = 6.0"),
    ],
    "reset-connections": [
        ("reset_conns", "", "share = 0.5, x = 0.7"),
        ("reset_conns", "", "share = 1.0, x = 1.0"),
        ("lossy", "", "x = 0.05, for_s = 6.0"),
        ("node_cut", "reset all", "share = 0.2, for_s = 5.0"),
    ],
    "slow-platform": [
        ("cloud_slow", "", "x = 80.0, for_s = 6.0"),
        ("platform_slow", "", "x = 80.0, for_s = 5.0"),
        ("platform_lost", "late", "x = 0.5, for_s = 6.0"),
        ("applied_late", "all", "x = 0.5, for_s = 8.0"),
    ],
    "store-away": [
        ("platform_down", "silent", "for_s = 6.0"),
        ("platform_down", "reset lapse", "for_s = 5.0"),
        ("platform_down", "busy lapse", "for_s = 6.0"),
        ("platform_down", "nodes silent revoke", "share = 0.4, for_s = 8.0"),
    ],
    "forgetful-store": [
        ("platform_compact", "drain", "x = 6.0, for_s = 10.0"),
        ("platform_compact", "", "x = 3.0, for_s = 6.0"),
        ("platform_down", "nodes many revoke meet drain", "for_s = 7.0"),
    ],
    "killed-leaders": [
        ("node_kill", "leader race", "count = 1"),
        ("node_kill", "power leader hard", "count = 1, for_s = 3.0"),
        ("node_freeze", "leader renewed", "count = 1, for_s = 6.0"),
        ("core_cut", "leader one_way", "count = 1, for_s = 5.0"),
    ],
    "hindered-holders": [
        ("node_freeze", "leader renewed", "count = 1, for_s = 5.0"),
        ("node_slow", "leader", "count = 1, x = 8.0, for_s = 6.0"),
        ("node_cut", "leader all", "count = 1, for_s = 5.0"),
        ("cloud_down", "silent", "for_s = 5.0"),
    ],
    "herds": [
        ("herd_kill", "", "share = 0.7, for_s = 1.5"),
        ("herd_kill", "power", "share = 0.6, for_s = 2.0"),
        ("after_ack_kill", "kill", "for_s = 2.0"),
    ],
    "clocks": [
        ("clock_step", "back", "share = 0.4, x = 4000.0, for_s = 8.0"),
        ("clock_step", "ahead", "share = 0.4, x = 6000.0, for_s = 8.0"),
        ("node_slow", "", "share = 0.3, x = 6.0, for_s = 6.0"),
    ],
    "spoiled-answers": [
        ("garble", "unframed", "share = 0.6, x = 0.08, for_s = 6.0"),
        ("garble", "early", "share = 0.6, x = 0.1, for_s = 6.0"),
        ("garble", "extra late", "share = 0.6, x = 0.08, for_s = 6.0"),
        ("answer_lost", "reset", "share = 0.6, x = 0.2, for_s = 5.0"),
    ],
    "leaving-callers": [
        ("give_up", "", "share = 0.4, for_s = 6.0"),
        ("give_up", "once", "share = 0.4, x = 800.0, for_s = 6.0"),
        ("retry_abuse", "", "share = 0.4, x = 4.0, for_s = 6.0"),
        ("hot_tenant", "", "x = 8.0, for_s = 8.0"),
    ],
    "reclaims": [
        ("scale_in", "reclaim dry", "x = 2.5, for_s = 10.0"),
        ("scale_in", "reclaim", "x = 2.0, for_s = 6.0"),
        ("scale_in", "spot", "x = 2.0, share = 0.3"),
        ("srv_crash", "rack", "share = 0.2, for_s = 4.0"),
    ],
}
PLANS: dict[str, list[Event]] = {
    "planned-stops": [
        ("roll_term", "busy", "share = 1.0, gap_s = 1.5"),
        ("hup", "", "share = 1.0, gap_s = 2.0"),
        ("release", "", "share = 0.6, x = 2.0, gap_s = 1.0"),
    ],
    "changed-settings": [
        ("hup", "", "share = 1.0, gap_s = 0.2"),
        ("roll_term", "", "share = 0.5, gap_s = 1.0"),
        ("hup", "", "share = 1.0, gap_s = 1.0"),
    ],
    "planned-changes": [
        ("config_storm", "", "for_s = 5.0, gap_s = 0.3"),
        ("config_change", "route", ""),
        ("config_change", "weights", ""),
        ("big_config", "", ""),
        ("revoke", "last", "count = 3, gap_s = 0.3"),
        ("config_change", "timeout", ""),
    ],
    "planned-fleet": [
        ("add_nodes", "", ""),
        ("scale_out", "", "share = 0.4, gap_s = 2.0"),
        ("scale_in", "", "share = 0.3"),
        ("replace_core", "planned", "x = 2.0"),
    ],
}
# Faults, each with a planned change that follows it.
CHANGES_AFTER_FAULTS: dict[str, list[tuple[Event, Event]]] = {
    "silent-connections": [
        (
            ("reset_conns", "silent", "share = 1.0, x = 1.0"),
            ("config_change", "route", ""),
        ),
        (
            ("reset_conns", "silent", "share = 0.6, x = 0.8"),
            ("config_change", "weights", ""),
        ),
        (
            ("reset_conns", "silent", "share = 1.0, x = 1.0"),
            ("scale_in", "", "share = 0.2"),
        ),
        (
            ("reset_conns", "silent", "share = 1.0, x = 1.0"),
            ("config_storm", "", "for_s = 4.0, gap_s = 0.3"),
        ),
        (
            ("reset_conns", "silent", "share = 1.0, x = 1.0"),
            ("revoke", "", "count = 2, gap_s = 0.1"),
        ),
    ],
}
CHANGE_DELAY_S = 0.3

PAIR_DAYS = 12
PAIRS_PER_DAY = 4
# Files with kinds that some sites don't support. Such a site skips a day with
# one of them, so only the last days draw from these files.
SITE_DEPENDENT_SOURCES = frozenset({"lying-and-flapping"})
SITE_DEPENDENT_DAYS = 2
# Maximum delay between the first event of a pair and the second.
MAX_PAIR_GAP_S = 1.5


def render_row(at_s: float, event: Event) -> str:
    """Return one event as a row of a day file."""
    kind, how, other_fields = event
    fields = [f"at = {at_s:.1f}", f'kind = "{kind}"']
    fields += [f'how = "{how}"'] if how else []
    fields += [other_fields] if other_fields else []
    return f"  {{ {', '.join(fields)} }},"


def render_day(name: str, rows_by_table: dict[str, list[str]]) -> str:
    """Return the text of one day file."""
    lines = [f'name = "{name}"', 'slot = "trouble"']
    for table, rows in rows_by_table.items():
        if rows:
            lines += [f"{table} = [", *rows, "]"]
    return "\n".join(lines) + "\n"


def sequential_rows(events: list[Event]) -> list[str]:
    """Return rows for events that run one after another."""
    gap_s = DAY_LENGTH_S * 0.8 / len(events)
    return [
        render_row(1.0 + number * gap_s, event)
        for number, event in enumerate(events)
    ]


def followed_rows(
    pairs: list[tuple[Event, Event]],
) -> dict[str, list[str]]:
    """Return rows for faults, each with its change shortly after it."""
    gap_s = DAY_LENGTH_S * 0.8 / len(pairs)
    rows_by_table: dict[str, list[str]] = {"plan": [], "faults": []}
    for number, (fault, change) in enumerate(pairs):
        at_s = 1.0 + number * gap_s
        rows_by_table["faults"].append(render_row(at_s, fault))
        rows_by_table["plan"].append(render_row(at_s + CHANGE_DELAY_S, change))
    return rows_by_table


def paired_rows(
    rng: random.Random, *, site_dependent: bool
) -> dict[str, list[str]]:
    """Return rows for a day of pairs; each pair is drawn from two files."""
    rows_by_table: dict[str, list[str]] = {"plan": [], "faults": []}
    sources = [
        ("faults", name)
        for name in FAULTS
        if site_dependent or name not in SITE_DEPENDENT_SOURCES
    ]
    sources += [("plan", name) for name in PLANS]
    gap_s = DAY_LENGTH_S * 0.8 / PAIRS_PER_DAY
    for number in range(PAIRS_PER_DAY):
        for position, (table, name) in enumerate(rng.sample(sources, 2)):
            events_by_file = FAULTS if table == "faults" else PLANS
            at_s = 1.0 + number * gap_s
            at_s += position * rng.uniform(0.0, MAX_PAIR_GAP_S)
            event = rng.choice(events_by_file[name])
            rows_by_table[table].append(render_row(at_s, event))
    return rows_by_table


def main() -> None:
    """Write all day files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--pairs-seed", type=int, default=1, help="draws the pairs (1)"
    )
    parser.add_argument(
        "--folder",
        type=pathlib.Path,
        default=DEFAULT_FOLDER,
        help="where to write",
    )
    arguments = parser.parse_args()
    folder = arguments.folder
    folder.mkdir(parents=True, exist_ok=True)
    for table, events_by_file in (("faults", FAULTS), ("plan", PLANS)):
        for name, events in events_by_file.items():
            text = render_day(name, {table: sequential_rows(events)})
            (folder / f"{name}.toml").write_text(text)
    for name, pairs in CHANGES_AFTER_FAULTS.items():
        text = render_day(name, followed_rows(pairs))
        (folder / f"{name}.toml").write_text(text)
    rng = random.Random(arguments.pairs_seed)
    for number in range(PAIR_DAYS):
        name = f"pairs-{number + 1:02}"
        site_dependent = number >= PAIR_DAYS - SITE_DEPENDENT_DAYS
        rows_by_table = paired_rows(rng, site_dependent=site_dependent)
        (folder / f"{name}.toml").write_text(render_day(name, rows_by_table))


if __name__ == "__main__":
    main()
