import asyncio

import pytest

from jaypier.jobs.model import JobStatus
from jaypier.notes.book import HEAD_KEY
from jaypier.notes.service import MAX_ROWS, NoteStatus
from jaypier.notes.tests.builders import job_value, make_note, play, shape_value, team_value

CLINIC = {"teams": [team_value("clinic")]}


def assert_accepted(answer, version: int) -> None:
    assert (answer.status, answer.version) == (NoteStatus.ACCEPTED, version), answer


def assert_refused(answer, kind: str, text: str) -> None:
    assert (answer.status, answer.kind) == (NoteStatus.REFUSED, kind), answer
    assert any(text in reason for reason in answer.reasons), answer.reasons


class TestAcceptance:
    def test_note_is_in_force_everywhere_within_seconds(self):
        async def scenario(bench):
            assert_accepted(await bench.submit(make_note("a", added=CLINIC)), 1)
            await asyncio.sleep(0.1)
            for daemon in bench.daemons:
                assert daemon.keeper.configuration.version == 1
                assert [team.name for team in daemon.keeper.configuration.teams] == ["clinic"]

        play(scenario)

    def test_resent_note_counts_once(self):
        async def scenario(bench):
            note = make_note("a", added=CLINIC)
            assert_accepted(await bench.submit(note), 1)
            assert_accepted(await bench.submit(note, daemon=1), 1)
            assert_accepted(await bench.submit(make_note("b", changed=CLINIC)), 2)
            assert_accepted(await bench.submit(note), 1)

        play(scenario)

    def test_notes_that_race_are_all_applied_once(self):
        async def scenario(bench):
            notes = [
                make_note(f"n{number}", added={"teams": [team_value(f"team-{number}")]})
                for number in range(8)
            ]
            answers = await asyncio.gather(
                *(bench.submit(note, number % 3) for number, note in enumerate(notes))
            )
            assert sorted(answer.version for answer in answers) == list(range(1, 9))
            await bench.settle()
            assert all(len(daemon.book.teams) == 8 for daemon in bench.daemons)

        play(scenario, daemons=3)

    def test_daemon_that_starts_later_reads_what_is_in_force(self):
        async def scenario(bench):
            await bench.submit(make_note("a", added=CLINIC))
            await bench.submit(make_note("b", added={"jobs": [job_value("sort")]}))
            late = type(bench.daemons[0])(bench.cluster, "late")
            bench.daemons.append(late)
            await bench.settle()
            assert late.book.version == 2
            assert late.book.jobs["sort"].id == "sort-2"

        play(scenario)

    def test_lost_history_reverts_nothing(self):
        async def scenario(bench):
            await bench.submit(make_note("a", added=CLINIC))
            bench.store.compact()
            await bench.submit(make_note("b", added={"teams": [team_value("dairy")]}))
            await bench.settle()
            assert all(set(daemon.book.teams) == {"clinic", "dairy"} for daemon in bench.daemons)

        play(scenario)


class TestRefusal:
    @pytest.mark.parametrize(
        ("sections", "text"),
        [
            ({"added": CLINIC}, "teams/clinic exists already"),
            ({"changed": {"teams": [team_value("dairy")]}}, "teams/dairy does not exist"),
            ({"withdrawn": {"jobs": ["sort"]}}, "jobs/sort does not exist"),
            ({"added": {"jobs": [job_value("sort", "nobody")]}}, "which would not exist"),
            ({"added": CLINIC, "withdrawn": {"teams": ["clinic"]}}, "is named 2 times"),
            (
                {
                    "added": {
                        "teams": [team_value("dairy", keys=("k",)), team_value("b", keys=("k",))]
                    }
                },
                "a key that another team has",
            ),
            (
                {"changed": {"teams": [team_value("clinic", *2 * [shape_value("x", 1, 1)])]}},
                "names shape 'x' 2 times",
            ),
        ],
    )
    def test_mistake_is_named_and_nothing_changes(self, sections, text):
        async def scenario(bench):
            await bench.submit(make_note("a", added=CLINIC))
            assert_refused(await bench.submit(make_note("b", **sections)), "invalid", text)
            await bench.settle()
            assert bench.daemons[1].book.version == 1
            assert set(bench.daemons[1].book.teams) == {"clinic"}

        play(scenario)

    def test_note_against_an_older_version_conflicts(self):
        async def scenario(bench):
            await bench.submit(make_note("a", added=CLINIC))
            late = make_note("b", against=0, changed=CLINIC)
            assert_refused(
                await bench.submit(late), "conflict", "teams/clinic changed in version 1"
            )
            other = make_note("c", against=0, added={"teams": [team_value("dairy")]})
            assert_accepted(await bench.submit(other), 2)

        play(scenario)

    def test_note_that_is_too_large_is_to_be_split(self):
        async def scenario(bench):
            teams = [team_value(f"team-{number}") for number in range(MAX_ROWS)]
            note = make_note("a", added={"teams": teams})
            assert_refused(await bench.submit(note), "invalid", "split it")

        play(scenario)


class TestGuarantees:
    def test_shapes_of_all_teams_must_fit_together(self):
        async def scenario(bench):
            teams = [team_value(name, shape_value("nightly", 6, 8)) for name in ("a", "b")]
            assert_accepted(await bench.submit(make_note("a", added={"teams": teams})), 1)
            third = team_value("c", shape_value("bench", 1, 1))
            note = make_note("b", added={"teams": [third]})
            assert_refused(await bench.submit(note), "shortfall", "team 'c': shape 'bench'")

        play(scenario)

    def test_rack_shape_needs_one_rack(self):
        async def scenario(bench):
            wide = team_value("a", shape_value("wide", 7, 8))
            note = make_note("a", added={"teams": [wide]})
            assert_refused(await bench.submit(note), "shortfall", "shape 'wide' of 7 tasks")

        play(scenario)

    def test_data_centre_is_taken_out_in_any_case(self):
        async def scenario(bench):
            teams = [team_value(name, shape_value("nightly", 6, 8)) for name in ("a", "b")]
            await bench.submit(make_note("a", added={"teams": teams}))
            drain = make_note("b", added={"data_centres": [{"name": "dc-0", "in_service": False}]})
            assert_accepted(await bench.submit(drain), 2)
            await bench.settle()
            assert bench.daemons[1].keeper.out_of_service == {"dc-0"}
            back = make_note("c", withdrawn={"data_centres": ["dc-0"]})
            assert_accepted(await bench.submit(back), 3)
            await bench.settle()
            assert bench.daemons[1].keeper.out_of_service == frozenset()

        play(scenario)


class TestJobs:
    def test_job_is_handed_to_the_scheduler_with_its_note(self):
        async def scenario(bench):
            note = make_note("a", added={**CLINIC, "jobs": [job_value("sort", tasks=4)]})
            assert_accepted(await bench.submit(note), 1)
            assert bench.scheduled() == (["sort-1"], [])

        play(scenario)

    def test_withdrawn_job_is_cancelled(self):
        async def scenario(bench):
            await bench.submit(make_note("a", added={**CLINIC, "jobs": [job_value("sort")]}))
            await bench.submit(make_note("b", withdrawn={"jobs": ["sort"]}))
            assert bench.scheduled() == (["sort-1"], ["sort-1"])

        play(scenario)

    def test_changed_job_is_stopped_and_queued_anew(self):
        async def scenario(bench):
            await bench.submit(make_note("a", added={**CLINIC, "jobs": [job_value("sort")]}))
            changed = make_note("b", changed={"jobs": [job_value("sort", tasks=2)]})
            assert_accepted(await bench.submit(changed), 2)
            assert bench.scheduled() == (["sort-1", "sort-2"], ["sort-1"])

        play(scenario)

    def test_name_of_an_ended_job_may_be_used_again(self):
        async def scenario(bench):
            note = make_note("a", added={**CLINIC, "jobs": [job_value("sort")]})
            await bench.submit(note)
            again = {"added": {"jobs": [job_value("sort")]}}
            assert_refused(await bench.submit(make_note("b", **again)), "invalid", "exists already")
            bench.end_job("sort-1", JobStatus.UNKNOWN)
            assert_accepted(await bench.submit(make_note("c", **again)), 2)
            assert bench.scheduled()[0] == ["sort-1", "sort-2"]

        play(scenario)

    def test_team_with_unfinished_jobs_stays(self):
        async def scenario(bench):
            await bench.submit(make_note("a", added={**CLINIC, "jobs": [job_value("sort")]}))
            gone = {"withdrawn": {"teams": ["clinic"]}}
            assert_refused(await bench.submit(make_note("b", **gone)), "invalid", "jobs/sort")
            bench.end_job("sort-1")
            assert_accepted(await bench.submit(make_note("c", **gone)), 2)

        play(scenario)

    def test_names_of_jobs_whose_rows_are_gone_are_cleared_away(self):
        async def scenario(bench):
            jobs = [job_value(f"job-{number}") for number in range(6)]
            await bench.submit(make_note("a", added={**CLINIC, "jobs": jobs}))
            for number in range(6):
                del bench.store.rows[f"jobs/job-{number}-1"]
            for number in range(4):
                await bench.submit(make_note(f"b{number}", changed=CLINIC))
            await bench.settle()
            assert bench.daemons[1].book.jobs == {}

        play(scenario)


class TestTroubleOfTheStore:
    def test_lost_answer_is_resolved(self):
        async def scenario(bench):
            bench.store.lost_response_probability = 1.0
            task = asyncio.create_task(bench.submit(make_note("a", added=CLINIC)))
            await asyncio.sleep(0.5)
            bench.store.lost_response_probability = 0.0
            assert_accepted(await task, 1)

        play(scenario)

    def test_fate_is_unknown_while_the_store_is_down_and_certain_after(self):
        async def scenario(bench):
            bench.store.is_down = True
            note = make_note("a", added=CLINIC)
            answer = await bench.submit(note)
            assert answer.status is NoteStatus.UNKNOWN
            assert "resend it unchanged" in answer.reasons[0]
            bench.store.is_down = False
            await bench.settle()
            assert_accepted(await bench.submit(note), 1)

        play(scenario)

    def test_refusal_stays_true_when_an_earlier_copy_comes_late(self):
        """A copy sent through another daemon must not take effect after the refusal."""

        async def scenario(bench):
            bench.store.lost_response_probability, bench.store.max_commit_delay_seconds = 1.0, 8.0
            note = make_note("a", added={"jobs": [job_value("sort")], **CLINIC})
            first = asyncio.create_task(bench.submit(note))
            await asyncio.sleep(0.02)
            await bench.daemons[0].stop()
            first.cancel()
            bench.store.lost_response_probability = 0.0
            changed = make_note("a", changed={"teams": [team_value("clinic")]})
            assert_refused(await bench.submit(changed, daemon=1), "invalid", "does not exist")
            await asyncio.sleep(10.0)
            assert bench.scheduled() == ([], [])
            assert bench.store.rows[HEAD_KEY].value == {"version": 0}

        play(scenario)

    def test_daemon_cut_off_from_the_store_accepts_nothing(self):
        async def scenario(bench):
            bench.store.unreachable_vms.add("vm-0")
            answer = await bench.submit(make_note("a", added=CLINIC))
            assert answer.status is NoteStatus.UNKNOWN
            assert_accepted(await bench.submit(make_note("a", added=CLINIC), daemon=1), 1)

        play(scenario)
