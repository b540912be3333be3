"""Delegation of parts of a search to VMs in the failure domain of the leaves.

A search may have parts whose leaves are all in other failure domains. Calling
such a leaf directly costs a request and a full reply between domains. A VM in
the domain of the leaves calls them instead and returns only what the merge
needs.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

# Minimum number of parts to delegate to a domain. For fewer parts, the
# additional hop costs more than direct calls.
MIN_PARTS = 3


def assign(
    remote: Mapping[str, Collection[str]],
    helper_domains: Collection[str],
    rotation: int,
) -> dict[str, list[str]]:
    """Assigns parts to few failure domains.

    Each step assigns all parts that one domain can take, beginning with the
    domain that can take most. The number of domains is not always the minimum.

    Args:
        remote: Failure domains with a leaf, by part.
        helper_domains: Domains with a VM that accepts delegated parts.
        rotation: Rotates the preference among domains that can take equally
            many parts.

    Returns:
        Parts by domain. Parts that are not included are called directly.
    """
    unassigned = dict(remote)
    assigned: dict[str, list[str]] = {}
    domains = sorted(helper_domains)
    if domains:
        first = rotation % len(domains)
        domains = domains[first:] + domains[:first]
    while domains:
        parts_by_domain = {
            domain: [
                part
                for part, part_domains in unassigned.items()
                if domain in part_domains
            ]
            for domain in domains
        }
        domain = max(domains, key=lambda d: len(parts_by_domain[d]))
        if len(parts_by_domain[domain]) < MIN_PARTS:
            break
        assigned[domain] = parts_by_domain[domain]
        domains.remove(domain)
        for part in parts_by_domain[domain]:
            del unassigned[part]
    return assigned
