"""The interface through which packages publish and read news."""

import abc
import enum

import attrs


class Scope(enum.StrEnum):
    """The processes that receive the items of a channel."""

    REGION = 'region'
    EVERYWHERE = 'everywhere'


@attrs.frozen
class Channel:
    """One kind of news; readers ignore items older than max_age_s.

    Items of an urgent channel are sent and forwarded at once instead of with
    the next exchange. Only for rare and small items.
    """

    name: str
    scope: Scope
    max_age_s: float
    max_item_bytes: int
    urgent: bool = False


@attrs.frozen
class NewsItem:
    """The latest item of one owner for one key.

    number increases with each publication of the owner's incarnation, so
    duplicate and late messages are harmless; age_s counts from publication.
    """

    channel: str
    owner: str
    owner_incarnation: int
    key: str
    number: int
    body: bytes
    age_s: float


class NewsBus(abc.ABC):
    """Publishes this process's news and reads that of all processes."""

    @abc.abstractmethod
    def publish(self, channel: Channel, key: str, body: bytes) -> None:
        """Publish an item under key; an empty body retracts it."""

    @abc.abstractmethod
    def read(self, channel: Channel) -> tuple[NewsItem, ...]:
        """Return all unexpired items of a channel."""
