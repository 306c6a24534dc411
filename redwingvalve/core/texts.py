"""Names that other programs choose.

Load pattern: any program may write an object whose name or field is an unpaired
surrogate, a control character or a megabyte of letters. Such a name can't be
encoded, doesn't fit into a header, or fills the messages of all nodes.
"""

# Of machines, data centres, endpoints and models.
MAX_NAME_LENGTH = 255


def is_name(text: str) -> bool:
    """Return whether a text, perhaps empty, can be sent as a name."""
    return len(text) <= MAX_NAME_LENGTH and text.isprintable()
