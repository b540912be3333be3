"""Parses JSON text to validated models, with one error per invalid field.

The text is a deployment document or a settings file. In errors about the text
as a whole, the name of the field is "document".
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError
from pydantic_core import ErrorDetails
from sapphire_core.errors import SettingsError

ModelType = TypeVar("ModelType", bound=BaseModel)

# Longer values are truncated in error messages.
MAX_SHOWN_CHARS = 60

NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"
IP_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}$"
ADDRESS_PATTERN = r"^[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}$"
_PATTERN_REMEDIES = {
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
    "too_short": "Add items to {field}; it needs at least {min_length}.",
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
    """Returns one error per invalid field of a JSON text; empty if valid."""
    try:
        _validate(model, text)
    except ExceptionGroup as group:
        return [e for e in group.exceptions if isinstance(e, SettingsError)]
    return []


def parse(model: type[ModelType], text: str) -> ModelType:
    """Parses and validates a JSON text.

    Raises:
        SettingsError: The text is not valid; the error is that of the first
            invalid field.
    """
    try:
        return _validate(model, text)
    except ExceptionGroup as group:
        raise group.exceptions[0] from group


def _validate(model: type[ModelType], text: str) -> ModelType:
    fields = _decode(text)
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        found = [e for d in error.errors() for e in _settings_errors(d)]
        raise ExceptionGroup("invalid settings", found) from error


def _decode(text: str) -> Any:
    try:
        return json.loads(
            text,
            object_pairs_hook=_reject_duplicate_names,
            parse_constant=_reject_constant,
        )
    except SettingsError as error:
        raise ExceptionGroup("invalid settings", [error]) from error
    except (ValueError, RecursionError) as error:
        problem = SettingsError(
            "document",
            text[:MAX_SHOWN_CHARS],
            f"not JSON ({error})",
            "Correct the JSON syntax at the given position.",
        )
        raise ExceptionGroup("invalid settings", [problem]) from error


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    # By default the decoder silently keeps only the last value of a name. It
    # does not tell the path of the object, so the error has the bare name.
    fields: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields:
            raise SettingsError(
                name,
                _truncated(value),
                "the field is given twice in one object",
                "Remove one of the two.",
            )
        fields[name] = value
    return fields


def _reject_constant(name: str) -> Any:
    # The decoder accepts NaN, Infinity and -Infinity, which JSON does not have.
    raise SettingsError(
        "document", name, "not a JSON number", "Use a finite number."
    )


def _settings_errors(details: ErrorDetails) -> list[SettingsError]:
    build = _ERROR_BUILDERS.get(details["type"], _field_errors)
    return build(details)


def _rule_errors(details: ErrorDetails) -> list[SettingsError]:
    prefix = _dotted_path(details["loc"])
    return [
        SettingsError(
            f"{prefix}.{violation.field}" if prefix else violation.field,
            _truncated(violation.value),
            violation.problem,
            violation.remedy,
        )
        for violation in details["ctx"]["problems"]
    ]


def _pattern_errors(details: ErrorDetails) -> list[SettingsError]:
    pattern = details["ctx"]["pattern"]
    return [
        SettingsError(
            _dotted_path(details["loc"]),
            _truncated(details["input"]),
            "not of the required form",
            _PATTERN_REMEDIES.get(
                pattern, f"Use a string that matches {pattern}."
            ),
        )
    ]


def _field_errors(details: ErrorDetails) -> list[SettingsError]:
    context = details.get("ctx", {})
    field = _dotted_path(details["loc"]) or "document"
    remedy = context.get("remedy") or _REMEDIES.get(details["type"])
    # Remedies in the context come from validators and are already complete.
    if remedy is not None and "remedy" not in context:
        remedy = remedy.format(field=field, **context)
    value = "nothing" if details["type"] == "missing" else details["input"]
    problem = details["msg"][:1].lower() + details["msg"][1:]
    return [SettingsError(field, _truncated(value), problem, remedy)]


# By error type; "rules" is raised by document.Document.
_ERROR_BUILDERS: dict[str, Callable[[ErrorDetails], list[SettingsError]]] = {
    "rules": _rule_errors,
    "string_pattern_mismatch": _pattern_errors,
}


def _dotted_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location)


def _truncated(value: object) -> object:
    text = repr(value)
    return (
        value
        if len(text) <= MAX_SHOWN_CHARS
        else f"{text[:MAX_SHOWN_CHARS]}..."
    )
