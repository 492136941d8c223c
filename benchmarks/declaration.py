"""Declare the demo's configuration through the operator library."""

from collections.abc import Iterable
from collections.abc import Mapping

from shallotfold import operator

MODEL = "general"
BOOKING_SERVICE = "booking"
BOOKING_PREFIX = "/booking/"
USAGE_WINDOW_S = 10
SPARE_PRICE_PER_HOUR = 0.4
SPARE_START_S = 1.0

TARGETS_BY_CLASS = {
    "chat": operator.Targets(first_token_s=0.5, between_tokens_s=0.1),
    "booking": operator.Targets(whole_answer_s=1.0),
    "drafting": operator.Targets(first_token_s=2.0),
    "tagging": operator.Targets(whole_answer_s=3.0),
}
TIERS_BY_CLASS = {"chat": 1, "booking": 1, "drafting": 2, "tagging": 3}
EXPECTED_TOKENS_BY_CLASS = {"chat": 40, "drafting": 150, "tagging": 12}


def offer_name(spare: operator.Upstream) -> str:
    """Return the name of the offer for ordering a spare."""
    return f"cheap-{spare.data_centre}"


def declare(
    upstreams: Iterable[operator.Upstream],
    spares: Iterable[operator.Upstream],
    keys_by_workspace: Mapping[str, Iterable[operator.KeyDigest]],
) -> operator.Configuration:
    """Return the checked configuration of the demo.

    Args:
        upstreams: Model and plain upstreams.
        spares: Engines that may be ordered, each through its own offer.
        keys_by_workspace: Valid keys.
    """
    builder = operator.ConfigurationBuilder(usage_window_s=USAGE_WINDOW_S)
    classes = [_add_class(builder, name) for name in TIERS_BY_CLASS]
    bookings = builder.add_route(
        BOOKING_PREFIX, service=BOOKING_SERVICE, request_class=classes[1]
    )
    _add_upstreams(builder, list(upstreams))
    for spare in spares:
        builder.add_offer(
            offer_name(spare),
            data_centre=operator.DataCentre(spare.data_centre),
            model=spare.model,
            slots=spare.slots,
            tokens_per_s=spare.tokens_per_s,
            price_per_hour=SPARE_PRICE_PER_HOUR,
            reclaimable=spare.reclaimable,
            start_s=SPARE_START_S,
            max_count=1,
        )
    for name, keys in keys_by_workspace.items():
        builder.add_workspace(
            name, keys=keys, classes=classes, routes=[bookings]
        )
    return builder.build()


def _add_class(
    builder: operator.ConfigurationBuilder, name: str
) -> operator.RequestClass:
    return builder.add_class(
        name,
        tier=TIERS_BY_CLASS[name],
        targets=TARGETS_BY_CLASS[name],
        floor_share=0.05,
        expected_output_tokens=EXPECTED_TOKENS_BY_CLASS.get(name, 1),
    )


def _add_upstreams(
    builder: operator.ConfigurationBuilder, upstreams: list[operator.Upstream]
) -> None:
    data_centres_by_name = {
        name: builder.add_data_centre(name)
        for name in dict.fromkeys(u.data_centre for u in upstreams)
    }
    for upstream in upstreams:
        common_arguments = {
            "url": upstream.url,
            "credential": upstream.credential,
        }
        data_centre = data_centres_by_name[upstream.data_centre]
        if upstream.model:
            builder.add_model_upstream(
                upstream.name,
                data_centre=data_centre,
                model=upstream.model,
                slots=upstream.slots,
                tokens_per_s=upstream.tokens_per_s,
                reclaimable=upstream.reclaimable,
                **common_arguments,
            )
        else:
            builder.add_plain_upstream(
                upstream.name,
                data_centre=data_centre,
                service=upstream.service,
                **common_arguments,
            )
