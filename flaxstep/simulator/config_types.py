"""Types for the tables of a scenario: numbers with bounds, and ranges from which each seed draws."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
RangePair = tuple[float, float]
# A number, or a range from which each seed draws. check_scenario checks that none is below 0: with bounds
# inside a union, msgspec 0.19 to 0.23 crash in the garbage collector.
Range = float | tuple[float, float]


class Table(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A table of a scenario. An unknown key is an error, as it would have no effect."""
