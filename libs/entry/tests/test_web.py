"""Tests of the callers' interface with a fake cell."""


def test_search_answers_from_all_shards(on_stage):
    """Guards against an answer that misses or repeats a shard."""

    async def check(stage):
        reply = await stage.search()
        assert reply.status == 200
        body = reply.json()
        found = [match["id"] for match in body["matches"]]
        assert found == ["doc-3", "doc-2", "doc-1"]
        assert body["index_version"] == "v1"
        assert body["coverage"] == {
            "shards_total": 4,
            "shards_answered": 4,
            "missing": [],
            "documents_total": 40,
            "documents_answered": 40,
            "complete": True,
        }

    on_stage(check)
