"""Print the configuration of Mwangaza Shelter Media."""

from shallotfold import operator

PROPOSAL_MODEL = "proposal"
DATA_CENTRES = ("westlands", "industrial-area", "upper-hill", "embakasi")
LARGE_AGENCIES = ("acacia", "baobab")
SMALL_AGENCIES = ("cedar", "dombeya", "erica", "ficus", "grewia", "hibiscus")


def key_of(workspace: str) -> operator.KeyDigest:
    """Return the digest of a workspace's example key.

    A real deployment makes keys with `shallotfold keys new` and writes only
    their digests here.
    """
    return operator.digest_key(
        f"{workspace}-1", f"example-key-of-{workspace}-only"
    )


def build() -> operator.ConfigurationBuilder:
    """Declare everything that Mwangaza runs."""
    builder = operator.ConfigurationBuilder(usage_window_s=60)
    data_centres = [builder.add_data_centre(name) for name in DATA_CENTRES]
    add_upstreams(builder, data_centres)
    queries = builder.add_class(
        "agency-query",
        tier=1,
        targets=operator.Targets(first_token_s=0.5, between_tokens_s=0.049),
        expected_output_tokens=120,
    )
    bookings = builder.add_class(
        "booking", tier=1, targets=operator.Targets(whole_answer_s=2.0)
    )
    proposals = builder.add_class(
        "proposal",
        tier=2,
        targets=operator.Targets(first_token_s=3.0, between_tokens_s=0.1),
        expected_output_tokens=800,
    )
    summaries = builder.add_class(
        "summary",
        tier=3,
        targets=operator.Targets(whole_answer_s=60.0),
        expected_output_tokens=200,
    )
    booking_route = builder.add_route(
        "/booking/", service="booking", request_class=bookings
    )
    builder.add_route(
        "/shelters/",
        service="booking",
        request_class=summaries,
        open_to_all=True,
    )
    classes = [queries, proposals, summaries]
    for name in LARGE_AGENCIES:
        builder.add_workspace(
            name,
            keys=[key_of(name)],
            classes=classes,
            routes=[booking_route],
            weight=3.0,
        )
    for name in SMALL_AGENCIES:
        builder.add_workspace(
            name,
            keys=[key_of(name)],
            classes=classes,
            routes=[booking_route],
            limits=operator.Limits(requests_per_minute=600, concurrency=20),
        )
    builder.add_workspace(
        "condition-reports",
        keys=[key_of("condition-reports")],
        classes=[summaries],
    )
    builder.set_budget(max_price_per_hour=40.0)
    return builder


def add_upstreams(
    builder: operator.ConfigurationBuilder,
    data_centres: list[operator.DataCentre],
) -> None:
    """Declare six model upstreams, four booking upstreams and the offers."""
    for index in range(6):
        builder.add_model_upstream(
            f"model-{index + 1}",
            url=f"http://127.0.20.{index + 1}:9000",
            data_centre=data_centres[index % len(data_centres)],
            model=PROPOSAL_MODEL,
            price_per_hour=4.0,
            credential="engines",
        )
    for index, data_centre in enumerate(data_centres):
        builder.add_plain_upstream(
            f"booking-{index + 1}",
            url=f"http://127.0.21.{index + 1}:9000",
            data_centre=data_centre,
            service="booking",
            price_per_hour=0.5,
            credential="services",
        )
        builder.add_offer(
            f"cheap-{data_centre.name}",
            data_centre=data_centre,
            model=PROPOSAL_MODEL,
            price_per_hour=1.2,
            reclaimable=True,
            credential="engines",
        )


if __name__ == "__main__":
    build().print()
