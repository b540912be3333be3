"""JSON text to validated models, with one typed error per bad setting."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from sapphire_core.errors import SettingsError

ModelType = TypeVar("ModelType", bound=BaseModel)

# Longest value that is shown in a message, in characters.
MAX_SHOWN = 60

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
IP_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
_FORMS = {
    NAME_PATTERN: "Use up to 63 lower-case letters, digits and hyphens.",
    IP_PATTERN: "Use an IPv4 address such as 10.1.2.3.",
    ADDRESS_PATTERN: "Use an IPv4 address and port such as 10.1.2.3:8080.",
}
_REMEDIES: dict[str, str] = {
    "missing": "Add {field}.",
    "extra_forbidden": (
        "Remove {field} or correct its spelling; docs/configuration.md lists"
        " the fields."
    ),
    "greater_than_equal": "Use a number of at least {ge}.",
    "greater_than": "Use a number above {gt}.",
    "less_than_equal": "Use a number of at most {le}.",
    "less_than": "Use a number below {lt}.",
    "finite_number": "Use a finite number.",
    "too_short": "Add at least {min_length} to {field}.",
    "string_type": "Put the value in quotation marks.",
    "int_type": "Use a whole number without quotation marks.",
    "int_parsing": "Use a whole number.",
    "int_from_float": "Use a whole number.",
    "float_type": "Use a number without quotation marks.",
    "float_parsing": "Use a number.",
    "bool_type": "Use true or false.",
    "bool_parsing": "Use true or false.",
    "list_type": "Use a list in square brackets.",
    "model_type": "Use an object in braces.",
}


def validation_errors(model: type[BaseModel], text: str) -> list[SettingsError]:
    """Returns one error per bad setting of a JSON text, empty if valid."""
    try:
        _validated(model, text)
    except ExceptionGroup as group:
        return [e for e in group.exceptions if isinstance(e, SettingsError)]
    return []


def parse(model: type[ModelType], text: str) -> ModelType:
    """Returns the validated model of a JSON text.

    Raises:
        SettingsError: The text is not valid; names the first bad field.
    """
    try:
        return _validated(model, text)
    except ExceptionGroup as group:
        raise group.exceptions[0] from group


def _validated(model: type[ModelType], text: str) -> ModelType:
    fields = _decoded(text)
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        found = [e for d in error.errors() for e in _errors(d)]
        raise ExceptionGroup("bad settings", found) from error


def _decoded(text: str) -> Any:
    try:
        return json.loads(
            text, object_pairs_hook=_unique_pairs, parse_constant=_no_constant
        )
    except SettingsError as error:
        raise ExceptionGroup("bad settings", [error]) from error
    except (ValueError, RecursionError) as error:
        problem = SettingsError(
            "document",
            text[:MAX_SHOWN],
            f"not JSON ({error})",
            "Correct the JSON syntax at the place named.",
        )
        raise ExceptionGroup("bad settings", [problem]) from error


def _unique_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # The decoder would keep the last value and drop the others silently.
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise SettingsError(
                name,
                _shown(value),
                "the field is given twice in one object",
                "Remove one of the two.",
            )
        fields[name] = value
    return fields


def _no_constant(name: str) -> Any:
    raise SettingsError(
        "document", name, "not a JSON number", "Use a finite number."
    )


def _errors(details: ErrorDetails) -> list[SettingsError]:
    build = _BUILDERS.get(details["type"], _single)
    return build(details)


def _rule_errors(details: ErrorDetails) -> list[SettingsError]:
    prefix = _path(details["loc"])
    return [
        SettingsError(
            f"{prefix}.{p.field}" if prefix else p.field,
            _shown(p.value),
            p.what,
            p.remedy,
        )
        for p in details["ctx"]["problems"]
    ]


def _form_error(details: ErrorDetails) -> list[SettingsError]:
    pattern = details["ctx"]["pattern"]
    return [
        SettingsError(
            _path(details["loc"]),
            _shown(details["input"]),
            "not of the required form",
            _FORMS.get(pattern, f"Use a text that matches {pattern}."),
        )
    ]


def _single(details: ErrorDetails) -> list[SettingsError]:
    context = details.get("ctx", {})
    field = _path(details["loc"]) or "document"
    remedy = context.get("remedy") or _REMEDIES.get(details["type"])
    if remedy is not None and "remedy" not in context:
        remedy = remedy.format(field=field, **context)
    value = "nothing" if details["type"] == "missing" else details["input"]
    problem = details["msg"][:1].lower() + details["msg"][1:]
    return [SettingsError(field, _shown(value), problem, remedy)]


_BUILDERS: dict[str, Callable[[ErrorDetails], list[SettingsError]]] = {
    "rules": _rule_errors,
    "string_pattern_mismatch": _form_error,
}


def _path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location)


def _shown(value: object) -> object:
    text = repr(value)
    return value if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."
