"""Print the configuration of Switchback Commons Labs."""

from shallotfold import operator

TRAIL_MODEL = "trail"
DATA_CENTRES = ("asheville", "chattanooga", "knoxville", "greenville")
CLUBS = (
    "allegheny",
    "bartram",
    "cohutta",
    "dawson",
    "elkmont",
    "foothills",
    "georgia-loop",
    "highlands",
)


def key_of(workspace: str) -> operator.KeyDigest:
    """Return the digest of a workspace's example key.

    A real deployment makes keys with `shallotfold keys new` and writes only
    their digests here.
    """
    return operator.digest_key(
        f"{workspace}-1", f"example-key-of-{workspace}-only"
    )


def build() -> operator.ConfigurationBuilder:
    """Declare everything that Switchback runs."""
    builder = operator.ConfigurationBuilder(usage_window_s=300)
    data_centres = [builder.add_data_centre(name) for name in DATA_CENTRES]
    add_upstreams(builder, data_centres)
    chat = builder.add_class(
        "chat",
        tier=1,
        targets=operator.Targets(first_token_s=0.5, between_tokens_s=0.049),
        expected_output_tokens=150,
    )
    signups = builder.add_class(
        "signup", tier=1, targets=operator.Targets(whole_answer_s=2.0)
    )
    drafting = builder.add_class(
        "drafting",
        tier=2,
        targets=operator.Targets(first_token_s=5.0, between_tokens_s=0.1),
        expected_output_tokens=1000,
    )
    tagging = builder.add_class(
        "tagging",
        tier=3,
        targets=operator.Targets(whole_answer_s=30.0),
        expected_output_tokens=20,
    )
    signup_route = builder.add_route(
        "/signup/", service="signup", request_class=signups
    )
    for index, name in enumerate(CLUBS):
        builder.add_workspace(
            name,
            keys=[key_of(name)],
            classes=[chat, drafting, tagging],
            routes=[signup_route],
            weight=2.0 if index < 2 else 1.0,
            limits=operator.Limits(concurrency=40),
        )
    builder.set_budget(max_price_per_hour=15.0)
    return builder


def add_upstreams(
    builder: operator.ConfigurationBuilder,
    data_centres: list[operator.DataCentre],
) -> None:
    """Declare six model upstreams, four signup upstreams and the offers."""
    for index in range(6):
        builder.add_model_upstream(
            f"model-{index + 1}",
            url=f"http://127.0.30.{index + 1}:9000",
            data_centre=data_centres[index % len(data_centres)],
            model=TRAIL_MODEL,
            price_per_hour=2.0 if index < 2 else 0.6,
            reclaimable=index >= 2,
            credential="engines",
        )
    for index, data_centre in enumerate(data_centres):
        builder.add_plain_upstream(
            f"signup-{index + 1}",
            url=f"http://127.0.31.{index + 1}:9000",
            data_centre=data_centre,
            service="signup",
            price_per_hour=0.2,
            credential="services",
        )
        builder.add_offer(
            f"cheap-{data_centre.name}",
            data_centre=data_centre,
            model=TRAIL_MODEL,
            price_per_hour=0.6,
            reclaimable=True,
            credential="engines",
        )


if __name__ == "__main__":
    build().print()
