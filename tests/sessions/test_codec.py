"""Tests of the text form of session tokens."""

import string

import pytest
from burdockrun_messages import LogPosition
from burdockrun_sessions import (
    MAX_TOKEN_CHARS,
    MAX_TOKEN_DATABASES,
    SessionToken,
    TokenCodec,
    TokenErrorKind,
)
from hypothesis import given, settings
from hypothesis import strategies as st

CODEC = TokenCodec(["first-key"])
TOKEN = SessionToken(positions={"turns": LogPosition(term=3, index=77)})


def find_refusal_kind(codec: TokenCodec, text: str, account: str = "bayern") -> TokenErrorKind:
    return codec.decode(text, account).unwrap_err().kind


@settings(derandomize=True, max_examples=50)
@given(
    st.dictionaries(
        st.text(min_size=1, max_size=200),
        st.builds(LogPosition, term=st.integers(0, 2**40), index=st.integers(0, 2**60)),
        max_size=MAX_TOKEN_DATABASES,
    ),
    st.booleans(),
)
def test_decoding_returns_what_was_encoded(
    positions: dict[str, LogPosition], overflow: bool
) -> None:
    """Guards against a position that is lost or altered by encoding and decoding."""
    token = SessionToken(positions=positions, unlisted_at_primary=overflow)
    text = CODEC.encode(token, "bayern")
    decoded = CODEC.decode(text, "bayern").unwrap()
    assert len(text) <= MAX_TOKEN_CHARS
    if decoded != token:
        assert decoded.unlisted_at_primary
        assert decoded.positions.items() <= positions.items()


def test_encoding_drops_databases_above_the_size_limit() -> None:
    """Guards against encoded tokens that exceed the size limit of decoding."""
    names = [f"{number:03}" + "ü" * 197 for number in range(MAX_TOKEN_DATABASES)]
    token = SessionToken(positions={name: LogPosition(term=1, index=1) for name in names})
    decoded = CODEC.decode(CODEC.encode(token, "bayern"), "bayern").unwrap()
    assert 0 < len(decoded.positions) < MAX_TOKEN_DATABASES
    assert all(decoded.find(name) or decoded.needs_primary(name) for name in names)


def test_any_changed_character_is_refused() -> None:
    """Guards against forged positions."""
    text = CODEC.encode(TOKEN, "bayern")
    for position, character in enumerate(text):
        for other in string.ascii_letters[:3] + "._~é\0":
            if other != character:
                changed = text[:position] + other + text[position + 1 :]
                assert CODEC.decode(changed, "bayern").is_err(), changed


def test_each_refusal_has_its_kind() -> None:
    """Guards against refusals that operators cannot distinguish."""
    text = CODEC.encode(TOKEN, "bayern")
    assert find_refusal_kind(CODEC, "") is TokenErrorKind.DAMAGED
    assert find_refusal_kind(CODEC, "1.é.x") is TokenErrorKind.DAMAGED
    assert find_refusal_kind(CODEC, "1") is TokenErrorKind.DAMAGED
    assert find_refusal_kind(CODEC, text[:-1]) is TokenErrorKind.BAD_SIGNATURE
    assert find_refusal_kind(CODEC, "2" + text[1:]) is TokenErrorKind.UNKNOWN_VERSION
    assert find_refusal_kind(CODEC, "1" * (MAX_TOKEN_CHARS + 1)) is TokenErrorKind.TOO_LONG
    assert find_refusal_kind(CODEC, text, "andes") is TokenErrorKind.OTHER_ACCOUNT
    assert find_refusal_kind(TokenCodec(["other"]), text) is TokenErrorKind.BAD_SIGNATURE


def test_old_keys_verify_until_they_are_removed() -> None:
    """Guards against sessions that are refused while a key is rotated."""
    old, both, new = TokenCodec(["old"]), TokenCodec(["new", "old"]), TokenCodec(["new"])
    assert both.decode(old.encode(TOKEN, "bayern"), "bayern").is_ok()
    assert new.decode(both.encode(TOKEN, "bayern"), "bayern").is_ok()
    assert find_refusal_kind(new, old.encode(TOKEN, "bayern")) is TokenErrorKind.BAD_SIGNATURE


@pytest.mark.parametrize("keys", [[], [""], ["a", ""]])
def test_missing_or_empty_keys_are_an_error(keys: list[str]) -> None:
    """Guards against tokens that anyone could sign."""
    with pytest.raises(ValueError, match="key"):
        TokenCodec(keys)


@settings(derandomize=True, max_examples=300)
@given(st.one_of(st.text(), st.from_regex(r"1\.[A-Za-z0-9_=-]*\.[A-Za-z0-9_=-]*", fullmatch=True)))
def test_arbitrary_text_is_refused_without_an_exception(text: str) -> None:
    """Guards against a token that crashes a proxy."""
    assert CODEC.decode(text, "bayern").is_err()
