"""Recorded metrics of daemons.

A file holds any number of snapshots. Each one consists of a header line and
the Prometheus text that the daemon returned. The header is a comment in that
format: `# snapshot source=10.0.0.1:9100 time_s=1764800000.000`.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass

from prometheus_client.parser import text_string_to_metric_families
from prometheus_client.samples import Sample as MetricSample
from sapphire_core.burn import Group, Sample, Series
from sapphire_core.errors import SettingsError

REQUESTS = "sapphirecross_requests_total"
STARTED = "process_start_time_seconds"
_HEADER = re.compile(
    r"^# snapshot source=(\S+) time_s=(\d+(?:\.\d+)?)$", re.MULTILINE
)


@dataclass(frozen=True)
class Snapshot:
    """Metrics of one daemon at one point in time.

    Attributes:
        source: Address of the daemon.
        time_s: Time of the reading, in seconds since the epoch.
        text: The metrics in the Prometheus text format.
    """

    source: str
    time_s: float
    text: str

    def encode(self) -> str:
        """Encodes the snapshot for a file."""
        body = self.text.rstrip("\n")
        return (
            f"# snapshot source={self.source} time_s={self.time_s:.3f}\n"
            f"{body}\n"
        )


def decode(text: str, path: str) -> list[Snapshot]:
    """Decodes the snapshots in a file.

    Args:
        text: Content of the file.
        path: Path of the file, for the error message.

    Raises:
        SettingsError: The file does not begin with a header.
    """
    parts = _HEADER.split(text)
    if len(parts) == 1 or parts[0].strip():
        raise SettingsError(
            "--snapshots",
            path,
            "no snapshot header in the first line",
            "Name files that 'sapphirecross-burn --record=FILE' wrote.",
        )
    return [
        Snapshot(source, float(time_s), body)
        for source, time_s, body in zip(
            parts[1::3], parts[2::3], parts[3::3], strict=True
        )
    ]


def sample(snapshot: Snapshot) -> Sample:
    """Extracts the request counters from a snapshot.

    Raises:
        SettingsError: The text is not valid Prometheus text of a daemon.
    """
    try:
        metrics = list(_metric_samples(snapshot.text))
        counts = {_series(m): m.value for m in metrics if m.name == REQUESTS}
    except (ValueError, KeyError, IndexError) as error:
        raise SettingsError(
            "metrics",
            snapshot.source,
            f"not the Prometheus text of a daemon ({error!r})",
            "Name the HTTP address of an entry or aggregator.",
        ) from error
    started_s = next((m.value for m in metrics if m.name == STARTED), None)
    return Sample(snapshot.source, snapshot.time_s, counts, started_s)


def _metric_samples(text: str) -> Iterator[MetricSample]:
    for family in text_string_to_metric_families(text):
        yield from family.samples


def _series(metric: MetricSample) -> Series:
    labels = metric.labels
    group = Group(labels["service"], labels["request_class"])
    return Series(group, labels["result"])
