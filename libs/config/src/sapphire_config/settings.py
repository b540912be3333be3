"""Settings of the daemons, read from JSON files."""

from __future__ import annotations

import pathlib

from pydantic import Field
from sapphire_core.errors import SettingsError

from sapphire_config.document import Address, IpAddress, Model, Name
from sapphire_config.parsing import ModelType, parse


class TlsSettings(Model):
    """Certificate and key of the HTTP listener."""

    certfile: str = Field(
        min_length=1, description="Path of the PEM file with the certificate."
    )
    keyfile: str = Field(
        min_length=1, description="Path of the PEM file with the private key."
    )


class DaemonSettings(Model):
    """Settings common to all daemons."""

    vm: IpAddress = Field(description="IPv4 address of the VM.")
    failure_domain: Name = Field(description="Failure domain of the VM.")
    region: Name = Field(description="Region of the failure domain.")
    platform: Address = Field(
        description="Address of the platform's key-value service."
    )
    vm_list: Address | None = Field(
        None,
        description="Address of the platform's service that lists the VMs.",
    )
    seeds: list[Address] = Field(
        [],
        description=(
            "Frame addresses of the aggregators to contact at the start, to"
            " learn of the others."
        ),
    )
    log_file: str | None = Field(
        None, description="Path of the log file; none for standard error."
    )


class EntrySettings(DaemonSettings):
    """Settings of an entry daemon."""

    listen: Address = Field(description="HTTP address for callers.")
    frames: Address = Field(
        description="Address for the frame protocol between daemons."
    )
    tls: TlsSettings | None = Field(
        None, description="Certificate of the listener; none for plain HTTP."
    )


class AggregatorSettings(DaemonSettings):
    """Settings of an aggregator daemon."""

    frames: Address = Field(
        description=(
            "Address for the frame protocol between daemons; also the name of"
            " the aggregator."
        )
    )
    admin: Address = Field(description="HTTP address of metrics and status.")
    cell: Name = Field(
        description=(
            "Cell that the aggregator joins: the group of aggregators that"
            " divide the leaves among them."
        )
    )


def read_settings(model: type[ModelType], path: str) -> ModelType:
    """Reads and validates a settings file.

    Raises:
        SettingsError: The file can't be read or a field is not valid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            "settings file",
            path,
            f"the file can't be read ({error})",
            "Specify a UTF-8 text file that this process can read.",
        ) from error
    return parse(model, text)
