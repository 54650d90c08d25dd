"""Tests of publishing: races, lost answers, outages."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_cli.errors import RevisionConflict, StoreUnreachable, UnsettledWrite
from berylstage_cli.history import HISTORY_KEY, MAX_REVISIONS
from berylstage_cli.publication import Publisher
from berylstage_sheet.configuration import CONFIGURATION_KEY

CLOSED = ("south,open", "south,closed")
FASTER = ("no,5000", "no,4000")


@pytest.fixture
def publisher(store, fake_time):
    return Publisher(store, fake_time.sleep, lambda: 1_700_000_000.0)


@pytest.fixture
def base(publisher, configuration):
    """Publish a first revision and return it as read back."""
    return asyncio.run(first(publisher, configuration()))


async def first(publisher, cfg):
    """Publish on an empty store."""
    await publisher.publish(cfg, await publisher.current(), [])
    return await publisher.current()


async def publish_on_top(publisher, cfg):
    """Publish on whatever is in force now."""
    return await publisher.publish(cfg, await publisher.current(), [])


class TestPublish:
    def test_each_sheet_takes_the_next_revision(self, publisher, configuration, store):
        # An operator closes a data centre and restores the old sheet later. VMs
        # refuse lower revisions, so the old content has to come as a new revision.
        async def scenario():
            for cfg in (configuration(), configuration(CLOSED), configuration()):
                await publish_on_top(publisher, cfg)
            return await publisher.history.summaries()

        summaries = asyncio.run(scenario())
        assert store.configuration().revision == 3
        assert [summary.revision for summary in summaries] == [3, 2, 1]

    def test_history_is_bounded(self, publisher, configuration):
        async def scenario():
            for _ in range(MAX_REVISIONS + 5):
                await publish_on_top(publisher, configuration())
            return await publisher.history.summaries()

        summaries = asyncio.run(scenario())
        assert len(summaries) == MAX_REVISIONS
        assert summaries[0].revision == MAX_REVISIONS + 5


class TestRace:
    def test_exactly_one_of_two_operators_wins(
        self, publisher, base, configuration, store
    ):
        # Two operators edit the same revision and apply at the same moment. Were
        # both accepted, the second would silently undo the first one's change.
        async def scenario():
            return await asyncio.gather(
                publisher.publish(configuration(CLOSED), base, []),
                publisher.publish(configuration(FASTER), base, []),
                return_exceptions=True,
            )

        won, lost = asyncio.run(scenario())
        assert isinstance(lost, RevisionConflict)
        assert lost.winner.write_id == won.cfg.write_id
        assert store.configuration().revision == 2
        assert store.configuration().data_centres["south"].state.value == "closed"


class TestLostAnswer:
    """The store's answer to the write is lost."""

    # Faults of successive writes, and how often the configuration is written.
    CASES = [
        (["LOST_AFTER_EFFECT"], 1),
        (["LOST_BEFORE_EFFECT"], 2),
        (["LOST_BEFORE_EFFECT", "LOST_AFTER_EFFECT"], 2),
        (["RATE_LIMITED", "LOST_BEFORE_EFFECT"], 3),
        (["DELAYED"], 2),
    ]

    @pytest.mark.parametrize(("faults", "writes"), CASES)
    def test_settled_by_reading_back(
        self, publisher, base, configuration, store, faults, writes
    ):
        # The connection breaks after the write was sent. The operator must learn
        # that the sheet is accepted, and one sheet must not become two revisions,
        # also when the first copy of the write takes effect only later.
        store.write_faults[CONFIGURATION_KEY] = [store.Fault[f] for f in faults]
        store.writes.clear()
        accepted = asyncio.run(publisher.publish(configuration(CLOSED), base, []))
        assert store.writes.count(CONFIGURATION_KEY) == writes
        assert store.configuration().write_id == accepted.cfg.write_id
        assert store.configuration().revision == 2
        assert accepted.superseded_by is None

    def test_another_sheet_on_top_before_reading_back(
        self, publisher, base, configuration, store
    ):
        # The write takes effect, its answer is lost, and a second operator's sheet
        # replaces it before the first one reads back. The first sheet was accepted;
        # telling its operator of a conflict would be wrong.
        async def meanwhile():
            await publish_on_top(publisher, configuration(CLOSED, FASTER))

        store.meanwhile = meanwhile
        store.write_faults[CONFIGURATION_KEY] = [store.Fault.LOST_AFTER_EFFECT]
        accepted = asyncio.run(publisher.publish(configuration(CLOSED), base, []))
        assert accepted.cfg.revision == 2
        assert accepted.superseded_by.revision == 3

    @pytest.mark.parametrize("others", [[(CLOSED,)], [(CLOSED,), ()]])
    def test_another_sheet_instead(self, publisher, base, configuration, store, others):
        # The write is lost before it takes effect, and a second operator's sheet is
        # accepted, or two of them. Writing again blindly would undo their changes,
        # and taking theirs for ours would tell an untruth.
        async def meanwhile():
            for changes in others:
                await publish_on_top(publisher, configuration(*changes))

        store.meanwhile = meanwhile
        store.write_faults[CONFIGURATION_KEY] = [store.Fault.LOST_BEFORE_EFFECT]
        with pytest.raises(RevisionConflict) as caught:
            asyncio.run(publisher.publish(configuration(FASTER), base, []))
        assert caught.value.winner.revision == 1 + len(others)
        kind = store.configuration().services["orders"].kinds["place"]
        assert kind.deadline_ms == 5000

    def test_store_stays_silent(self, publisher, base, configuration, store):
        # The store takes the write and is then down for longer than the client
        # waits. Neither "accepted" nor "not written" would be true.
        store.write_faults[CONFIGURATION_KEY] = [store.Fault.LOST_AFTER_EFFECT]

        async def meanwhile():
            store.read_faults[CONFIGURATION_KEY] = 100

        store.meanwhile = meanwhile
        with pytest.raises(UnsettledWrite) as caught:
            asyncio.run(publisher.publish(configuration(CLOSED), base, []))
        assert store.configuration().write_id == caught.value.write_id

    def test_every_attempt_lost(self, publisher, base, configuration, store):
        # Each write is lost on its way. A copy may still arrive, so that the outcome
        # is unknown although the store holds the base each time.
        store.write_faults[CONFIGURATION_KEY] = [store.Fault.LOST_BEFORE_EFFECT] * 9
        with pytest.raises(UnsettledWrite):
            asyncio.run(publisher.publish(configuration(CLOSED), base, []))
        assert store.configuration().revision == 1


class TestOutage:
    def test_overload_of_the_store(self, publisher, base, configuration, store):
        # The store refuses every write for its rate limit: certainly nothing was
        # written, and the operator is told so.
        store.write_faults[CONFIGURATION_KEY] = [store.Fault.RATE_LIMITED] * 9
        with pytest.raises(StoreUnreachable, match="nothing was written"):
            asyncio.run(publisher.publish(configuration(CLOSED), base, []))

    def test_silent_before_the_write(self, publisher, base, configuration, store):
        # The store goes down between showing the difference and writing.
        store.entries.pop(HISTORY_KEY)
        store.read_faults[HISTORY_KEY] = 100
        with pytest.raises(StoreUnreachable, match="nothing was written"):
            asyncio.run(publisher.publish(configuration(CLOSED), base, []))
        assert store.configuration().revision == 1

    def test_short_silence_is_waited_out(self, publisher, base, store):
        # The store misses a few calls, as it does when it is busy.
        store.read_faults[CONFIGURATION_KEY] = 5
        assert asyncio.run(publisher.current()).revision == 1

    def test_history_lost_after_the_write(self, publisher, base, configuration, store):
        # The sheet is accepted, then the store goes down before the history has it.
        # The next writer adds it, so that the history has no gap.
        async def scenario():
            store.write_faults[HISTORY_KEY] = [store.Fault.RATE_LIMITED]
            accepted = await publish_on_top(publisher, configuration(CLOSED))
            await publish_on_top(publisher, configuration())
            return accepted, await publisher.history.summaries()

        accepted, summaries = asyncio.run(scenario())
        assert not accepted.recorded
        assert [summary.revision for summary in summaries] == [3, 2, 1]
        assert summaries[1].write_id == accepted.cfg.write_id

    @pytest.mark.parametrize("fault", ["LOST_AFTER_EFFECT", "LOST_BEFORE_EFFECT"])
    def test_history_answer_lost(self, publisher, base, configuration, store, fault):
        # The answer to writing the history is lost; the revision stands in it once.
        store.write_faults[HISTORY_KEY] = [store.Fault[fault]]
        accepted = asyncio.run(publisher.publish(configuration(CLOSED), base, []))
        assert accepted.recorded
        summaries = asyncio.run(publisher.history.summaries())
        assert [summary.revision for summary in summaries] == [2, 1]
