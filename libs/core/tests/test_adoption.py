"""Tests of the adoption of configuration revisions."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.adoption import Adoption, ConfigDocument, Source

DOCUMENTS = st.builds(
    ConfigDocument, st.integers(0, 9), st.just("{}"), st.sampled_from(Source)
)


@given(st.lists(DOCUMENTS))
def test_revision_never_falls(documents):
    """Guards against a stale answer that reverts a daemon's configuration."""
    adoption = Adoption()
    for i, document in enumerate(documents):
        before = adoption.revision
        assert adoption.adopt(document) == (document.revision > before)
        assert adoption.revision == max(d.revision for d in documents[: i + 1])
        assert adoption.is_ready == (adoption.revision > 0)


def test_observed_revision_is_fetched():
    """Guards against a daemon that stays behind during a watch outage."""
    adoption = Adoption()
    assert not adoption.observe_revision(0)
    assert adoption.observe_revision(3)
    assert adoption.is_behind
    assert not adoption.is_ready
    assert adoption.adopt(ConfigDocument(3, "{}", Source.PEER))
    assert not adoption.observe_revision(3)
    assert not adoption.is_behind
