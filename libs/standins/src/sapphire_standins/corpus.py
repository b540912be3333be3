"""Documents generated from a seed, and their partition into shards."""

from __future__ import annotations

import functools
import hashlib
import random
from dataclasses import dataclass

CORPUS_SEED = 20_261_204
DOCUMENT_COUNT = 3_000
MIN_WORDS = 20
MAX_WORDS = 80
# Each version omits about one document in ten, so that results merged from two
# versions differ from the results of either version.
OMIT_ONE_IN = 10

_SAFETY_WORDS = """
retinol dermal irritation sensitisation margin exposure cosmetic ingredient
paraben preservative toxicity study rabbit patch assay genotoxicity ames
micronucleus phototoxicity absorption dossier hazard safety noael dose oral
chronic reproductive endocrine fragrance allergen limonene linalool coumarin
emulsifier surfactant glycol phenoxyethanol benzoate salicylate titanium
dioxide nanoparticle inhalation ocular mucosal systemic impurity solvent
purity stability batch label concentration leave-on rinse-off infant vulnerable
toxicologist opinion literature registry identity synonym threshold concern
"""
_TENDER_WORDS = """
marché lot clause bidder tender dossier deadline submission proposal award
criterion price technical variant guarantee penalty subcontractor consortium
insurance certificate turnover reference works supply service maintenance
school roofing road bridge asphalt lighting canteen organic waste collection
ambulance hospital laboratory software licence cloud hosting network cabling
archive translation cleaning security fence harbour dredging ferry signage
annulment appeal register notice publication threshold framework agreement
amendment execution reception invoice retention arbitration buyer opening
"""
_SAFETY = _SAFETY_WORDS.split()
_TENDERS = _TENDER_WORDS.split()
WORDS = tuple(sorted(set(_SAFETY) | set(_TENDERS)))


@dataclass(frozen=True)
class Document:
    """One short document.

    Attributes:
        id: Unique name; equal scores are ordered by id.
        title: First words of the document.
        words: Words in document order.
    """

    id: str
    title: str
    words: tuple[str, ...]


def stable_hash(text: str) -> int:
    """Returns a hash that is the same in every process and release."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def shard_of(document_id: str, shards: int) -> int:
    """Returns the shard of a document in an index with that many shards."""
    return stable_hash(document_id) % shards


@functools.lru_cache(maxsize=16)
def documents(version: str) -> tuple[Document, ...]:
    """Returns the documents of an index version, ordered by id."""
    return tuple(
        document
        for document in _generate_corpus()
        if stable_hash(f"{version}\0{document.id}") % OMIT_ONE_IN
    )


@functools.lru_cache(maxsize=1)
def _generate_corpus() -> tuple[Document, ...]:
    rng = random.Random(CORPUS_SEED)
    return tuple(
        _make_document(number, rng) for number in range(DOCUMENT_COUNT)
    )


def _make_document(number: int, rng: random.Random) -> Document:
    vocabulary = _SAFETY if number % 2 else _TENDERS
    # Three frequent words make the term frequencies of documents vary.
    frequent_words = rng.sample(vocabulary, 3)
    count = rng.randint(MIN_WORDS, MAX_WORDS)
    words = rng.choices(vocabulary + frequent_words * 8, k=count)
    prefix = "study" if number % 2 else "tender"
    return Document(
        id=f"{prefix}-{number:05d}",
        title=" ".join(words[:4]),
        words=tuple(words),
    )
