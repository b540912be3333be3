"""Tests of the slot queue."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_standins.slots import Admission, SlotQueue


@given(st.lists(st.integers(-1, 3)), st.integers(1, 3), st.integers(0, 3))
def test_jobs_start_in_order_and_within_the_limits(steps, slots, limit):
    """Guards against lost jobs, too many running jobs and a wrong order."""
    queue = SlotQueue(slots, limit)
    started = []
    running = []
    admitted = []
    for number, step in enumerate(steps):
        if step < 0 or not running:
            admission = queue.admit(number)
            if admission is not Admission.SHED:
                admitted.append(number)
            new = [number] if admission is Admission.RUNNING else []
        else:
            new = queue.remove(running.pop(step % len(running)))
        started += new
        running += new
        assert queue.running == len(running) <= slots
        assert queue.waiting == len(admitted) - len(started) <= limit
    assert started == admitted[: len(started)]


def test_a_job_removed_from_the_queue_never_starts():
    """Guards against a slot taken by a job that was cancelled while queued."""
    queue = SlotQueue(1, 2)
    assert queue.admit("a") is Admission.RUNNING
    assert queue.admit("b") is Admission.WAITING
    assert queue.admit("c") is Admission.WAITING
    assert queue.admit("d") is Admission.SHED
    assert queue.remove("b") == []
    assert queue.remove("a") == ["c"]
