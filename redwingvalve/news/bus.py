"""The board of news: every slice publishes and reads through it."""

import abc
import enum

import attrs


class Scope(enum.StrEnum):
    """How far a channel's news travels."""

    REGION = 'region'
    EVERYWHERE = 'everywhere'


@attrs.frozen
class Channel:
    """One kind of news; older items are dropped by every reader.

    An urgent channel's items go out at once and are passed on at once, instead
    of waiting for the next exchange; only for what is rare and short.
    """

    name: str
    scope: Scope
    max_age_s: float
    max_item_bytes: int
    urgent: bool = False


@attrs.frozen
class NewsItem:
    """The newest word of one owner on one key.

    number rises with each publication of the owner's incarnation, so that a
    repeated or late message is harmless; age_s counts from publication.
    """

    channel: str
    owner: str
    owner_incarnation: int
    key: str
    number: int
    body: bytes
    age_s: float


class NewsBus(abc.ABC):
    """Publishes this process's news and reads everybody's."""

    @abc.abstractmethod
    def publish(self, channel: Channel, key: str, body: bytes) -> None:
        """Replace this process's word on key; an empty body retracts it."""

    @abc.abstractmethod
    def read(self, channel: Channel) -> tuple[NewsItem, ...]:
        """Return all items of a channel that are not too old."""
