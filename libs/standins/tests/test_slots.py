"""Tests of the slot queue."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_standins.slots import Place, SlotQueue


@given(st.lists(st.integers(-1, 3)), st.integers(1, 3), st.integers(0, 3))
def test_jobs_start_in_order_and_within_the_limits(steps, slots, limit):
    """Guards against a lost job, an excess start and a wrong order."""
    queue = SlotQueue(slots, limit)
    started = []
    running = []
    admitted = []
    for number, step in enumerate(steps):
        if step < 0 or not running:
            place = queue.enter(number)
            if place is not Place.SHED:
                admitted.append(number)
            new = [number] if place is Place.RUNNING else []
        else:
            new = queue.leave(running.pop(step % len(running)))
        started += new
        running += new
        assert queue.running == len(running) <= slots
        assert queue.waiting == len(admitted) - len(started) <= limit
    assert started == admitted[: len(started)]


def test_a_job_that_leaves_the_queue_never_starts():
    """Guards against a slot held by a job that was cancelled in the queue."""
    queue = SlotQueue(1, 2)
    assert queue.enter("a") is Place.RUNNING
    assert queue.enter("b") is Place.WAITING
    assert queue.enter("c") is Place.WAITING
    assert queue.enter("d") is Place.SHED
    assert queue.leave("b") == []
    assert queue.leave("a") == ["c"]
