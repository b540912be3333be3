"""Which parts of a search another VM calls, in the leaves' failure domain.

Load pattern: each search has parts whose leaves are all in other failure
domains. Called directly, each costs a request and a whole reply between
domains; a VM beside the leaves returns only what the merge needs.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

# Fewer parts cost less when they are called directly, without another hop.
LEAST_PARTS = 3


def assign(
    far: Mapping[str, Collection[str]], helping: Collection[str], turn: int
) -> dict[str, list[str]]:
    """Divides parts between failure domains, as few as possible.

    Args:
        far: Domains with a leaf of each part.
        helping: Domains with a VM that may be asked.
        turn: Rotates between domains that can take as many parts.

    Returns:
        Parts by domain; those that are not named are called directly.
    """
    left = dict(far)
    assigned: dict[str, list[str]] = {}
    domains = sorted(helping)
    if domains:
        first = turn % len(domains)
        domains = domains[first:] + domains[:first]
    while domains:
        takes = {
            domain: [part for part, places in left.items() if domain in places]
            for domain in domains
        }
        domain = max(domains, key=lambda d: len(takes[d]))
        if len(takes[domain]) < LEAST_PARTS:
            break
        assigned[domain] = takes[domain]
        domains.remove(domain)
        for part in takes[domain]:
            del left[part]
    return assigned
