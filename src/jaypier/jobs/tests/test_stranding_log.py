import structlog

from jaypier.core.metrics import Metrics
from jaypier.jobs.stranding_log import LOG_SECONDS, StrandingLog
from jaypier.jobs.tests.builders import make_cluster_state, make_job, make_planner, make_step


class TestStrandingLog:
    def play(self, seconds: int) -> tuple[StrandingLog, list]:
        cluster_state = make_cluster_state(2)
        waiting = make_job(make_step(count=3, accelerators=5))
        planner = make_planner(cluster_state, waiting)
        planner.plan(0.0, 0.0)
        watch = StrandingLog(Metrics())
        workers = list(cluster_state.workers.values())
        with structlog.testing.capture_logs() as lines:
            for tenth in range(10 * seconds):
                watch.update(cluster_state, lambda now: workers, tenth / 10)
        return watch, lines

    def test_stranded_room_is_measured_once_a_second(self):
        watch, _ = self.play(5)
        assert watch.newest.share > 0.3
        assert watch.newest.waiting == 1
        assert watch.metrics.summary("leader.stranded_share").count == 5

    def test_log_lines_are_bounded(self):
        _, lines = self.play(int(2 * LOG_SECONDS) + 1)
        assert [line["event"] for line in lines] == ["free room stranded"] * 3

    def test_free_room_that_waiting_tasks_can_use_is_not_logged(self):
        cluster_state = make_cluster_state(2)
        make_planner(cluster_state, make_job(make_step(accelerators=1)))
        watch = StrandingLog(Metrics())
        with structlog.testing.capture_logs() as lines:
            watch.update(cluster_state, lambda now: list(cluster_state.workers.values()), 0.0)
        assert watch.newest.share == 0 and not lines
