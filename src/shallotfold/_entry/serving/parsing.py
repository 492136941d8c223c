"""Validate callers' requests before they are processed."""

import json
from typing import Any
from typing import NoReturn

import attrs

from shallotfold._errors import ShallotfoldError
from shallotfold._model.prompts import prefix_digests
from shallotfold._model.prompts import prompt_text
from shallotfold._model.requests import Refusal
from shallotfold._model.requests import RefusalCode

MAX_MODEL_CHARACTERS = 256
MAX_CLASS_CHARACTERS = 64
MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
CHARACTERS_PER_TOKEN = 4


class RejectedRequestError(ShallotfoldError):
    """A request is invalid; the refusal says how to correct it.

    Attributes:
        refusal: Refusal for the caller; nothing was sent upstream.
    """

    def __init__(self, refusal: Refusal) -> None:
        self.refusal = refusal
        super().__init__(refusal.message)


@attrs.frozen(kw_only=True)
class ModelBody:
    """The validated body of a model request.

    Attributes:
        model: Requested model.
        streaming: Whether to stream the answer.
        max_output_tokens: Requested output limit; 0 when not given.
        prompt_tokens: Estimated number of input tokens.
        prefix_digests: Digests of prefixes of the prompt, shortest first.
        normalized: The body to send to upstreams, a JSON object.
    """

    model: str
    streaming: bool
    max_output_tokens: int
    prompt_tokens: int
    prefix_digests: tuple[str, ...]
    normalized: bytes


def reject(
    message: str, code: RefusalCode = RefusalCode.BAD_REQUEST
) -> NoReturn:
    """Reject a request as not run.

    Raises:
        RejectedRequestError: Always.
    """
    raise RejectedRequestError(Refusal(code=code, message=message))


def parse_model_body(
    body: bytes, *, chat: bool, key: str, max_nesting: int
) -> ModelBody:
    """Validate the body of a chat completion or text completion.

    The body is serialized again, so that the upstream parses exactly what
    was validated, even if the original has duplicate names.

    Args:
        body: Bytes from the caller.
        chat: Whether it must have messages rather than a prompt.
        key: The caller's key, which the body must not contain.
        max_nesting: Deepest nesting allowed.

    Raises:
        RejectedRequestError: The body is invalid.
    """
    content = _parse_body(body, max_nesting)
    model = content.get("model")
    if not isinstance(model, str) or not 0 < len(model) <= MAX_MODEL_CHARACTERS:
        reject('"model" must be the name of a model; see /v1/models.')
    streaming = content.get("stream") or False
    if not isinstance(streaming, bool):
        reject('"stream" must be true or false.')
    if "resume" in content:
        reject('Remove "resume"; a broken stream is resumed for you.')
    if content.get("n", 1) not in (1, None):
        reject('"n" must be 1; send one request per answer.')
    if chat:
        _check_messages(content.get("messages"))
    else:
        _check_prompt(content.get("prompt"))
    normalized = _serialize_body(content)
    if key and json.dumps(key, ensure_ascii=False)[1:-1] in normalized:
        reject("The body holds the key of the request; remove it there.")
    text = prompt_text(content)
    return ModelBody(
        model=model,
        streaming=streaming,
        max_output_tokens=_output_limit(content),
        prompt_tokens=max(1, len(text) // CHARACTERS_PER_TOKEN),
        prefix_digests=prefix_digests(text),
        normalized=_encode_body(normalized),
    )


def check_short_header(
    name: str, value: str, max_characters: int, key: str
) -> str:
    """Return a header's value if it is short, printable and without the key.

    Raises:
        RejectedRequestError: The value is too long, not printable or has
            the key in it.
    """
    if len(value) > max_characters or not value.isprintable():
        reject(f"{name} must be at most {max_characters} printable characters.")
    if key and key in value:
        reject(f"{name} holds the key of the request; remove it there.")
    return value


def _parse_body(body: bytes, max_nesting: int) -> dict[str, Any]:
    try:
        content = json.loads(body.decode(), parse_constant=_refuse_constant)
    except UnicodeDecodeError:
        reject("The body must be JSON in UTF-8.")
    except RecursionError:
        reject(f"The body may be nested {max_nesting} levels deep at most.")
    except ValueError as error:
        # The text of the exception may quote the body, so it is left out.
        position = getattr(error, "pos", None)
        reject(f"The body must be JSON; it goes wrong at character {position}.")
    if not isinstance(content, dict):
        reject("The body must be a JSON object.")
    opened = body.count(b"[") + body.count(b"{")
    if opened > max_nesting and _nesting_depth(content) > max_nesting:
        reject(f"The body may be nested {max_nesting} levels deep at most.")
    return content


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(name)


def _nesting_depth(content: Any) -> int:
    depth = 0
    level: list[Any] = [content]
    while level:
        depth += 1
        next_level: list[Any] = []
        for item in level:
            values = item.values() if isinstance(item, dict) else item
            next_level.extend(v for v in values if isinstance(v, (dict, list)))
        level = next_level
    return depth


def _serialize_body(content: dict[str, Any]) -> str:
    try:
        return json.dumps(
            content,
            ensure_ascii=False,
            allow_nan=False,
            separators=(",", ":"),
        )
    except (ValueError, RecursionError):
        reject("The body holds a number that JSON can't express.")


def _encode_body(text: str) -> bytes:
    try:
        return text.encode()
    except UnicodeEncodeError:
        reject("The body holds half of a surrogate pair; send UTF-8.")


def _check_messages(messages: Any) -> None:
    if not isinstance(messages, list) or not messages:
        reject('"messages" must be a list of at least one message.')
    for message in messages:
        if not isinstance(message, dict):
            reject('Each of "messages" must be an object.')
        if not isinstance(message.get("role"), str):
            reject('Each of "messages" needs a "role", a string.')
        content = message.get("content")
        if not isinstance(content, (str, list, type(None))):
            reject('"content" of a message must be a string or a list.')


def _check_prompt(prompt: Any) -> None:
    if isinstance(prompt, str) and prompt:
        return
    reject('"prompt" must be a string that is not empty.')


def _output_limit(content: dict[str, Any]) -> int:
    largest = 0
    for name in ("max_tokens", "max_completion_tokens"):
        value = content.get(name)
        if value is None:
            continue
        if type(value) is not int or value < 1:
            reject(f'"{name}" must be a whole number from 1.')
        largest = max(largest, value)
    return largest
