"""Decodes a TOML or JSON table into a typed object and reports all faults at once, each with its key."""

from __future__ import annotations

from typing import Annotated, Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

T = TypeVar("T", bound=msgspec.Struct)


def convert_all(raw: Any, kind: type[T], where: str = "") -> tuple[T | None, list[str]]:
    """The object, or None and a line for every fault: its key, and what is allowed there.

    Unknown keys are faults too, as they would be settings without effect.
    """
    if not isinstance(raw, dict):
        return None, [f"{where.rstrip('.') or 'the file'}: a table is required, not {type(raw).__name__}"]
    faults: list[str] = []
    found: dict[str, Any] = {}
    hints = get_type_hints(kind, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    faults += [f"{where}{key}: unknown key; one of {', '.join(fields)}" for key in raw if key not in fields]
    for name, field in fields.items():
        key = f"{where}{name}"
        if name not in raw:
            if field.required:
                faults.append(f"{key}: is missing")
            continue
        found[field.name], more = convert_value(raw[name], hints[field.name], key)
        faults += more
    return (None, faults) if faults else (kind(**found), faults)


def convert_value(value: Any, hint: Any, key: str) -> tuple[Any, list[str]]:
    plain = get_args(hint)[0] if get_origin(hint) is Annotated else hint
    inner = struct_of(plain)
    if inner is None:
        return convert_one(value, hint, key)
    if get_origin(plain) is not tuple:
        return convert_all(value, inner, f"{key}.")
    if not isinstance(value, list):
        return None, [f"{key}: an array of tables is required, not {type(value).__name__}"]
    lines = [convert_all(line, inner, f"{key}[{i}].") for i, line in enumerate(value)]
    faults = [fault for _, more in lines for fault in more]
    return (None, faults) if faults else convert_one(value, hint, key)  # checks the number of tables


def convert_one(value: Any, kind: Any, key: str) -> tuple[Any, list[str]]:
    try:
        return msgspec.convert(value, kind), []
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        return None, [f"{key}{place.rstrip('`')}: {text.replace('`', '')}"]


def struct_of(hint: Any) -> type[msgspec.Struct] | None:
    """The Struct type of a nested table; None if the key holds a plain value."""
    for kind in (hint, *get_args(hint)):
        if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
            return kind
    return None
