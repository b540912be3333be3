"""Settings of one daemon, read from a JSON file."""

from __future__ import annotations

import pathlib

from pydantic import Field
from sapphire_core.errors import SettingsError

from sapphire_config.document import Address, Model, ModelType, Name, parse


class TlsSettings(Model):
    """Certificate and key of the HTTP listener."""

    certfile: str
    keyfile: str


class DaemonSettings(Model):
    """What each daemon learns at its start."""

    vm: str = Field(description="IP address of the VM.")
    failure_domain: Name
    region: Name
    platform: Address
    vm_list: Address | None = None
    seeds: list[Address] = Field(
        [], description="Frame addresses of aggregators to ask first."
    )
    log_file: str | None = Field(None, description="None: standard error.")


class EntrySettings(DaemonSettings):
    """Settings of an entry daemon."""

    listen: Address = Field(description="HTTP address for callers.")
    frames: Address = Field(description="Frame address for other daemons.")
    tls: TlsSettings | None = None


class AggregatorSettings(DaemonSettings):
    """Settings of an aggregator daemon."""

    frames: Address = Field(description="Frame address; also its name.")
    admin: Address = Field(description="HTTP address of metrics and status.")
    cell: Name


def read_settings(model: type[ModelType], path: str) -> ModelType:
    """Returns the validated settings of a file.

    Raises:
        SettingsError: The file can't be read or a field is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError("settings file", path, str(error)) from error
    return parse(model, text)
