from jaypier.core.clock import VirtualClock
from jaypier.core.token_bucket import TokenBucket


class TestTokenBucket:
    def test_burst_then_sustained_rate(self):
        clock = VirtualClock()
        bucket = TokenBucket(clock, rate=2.0, burst=5.0)
        assert sum(bucket.take() for _ in range(100)) == 5
        clock.advance(1.0)
        assert sum(bucket.take() for _ in range(100)) == 2
        clock.advance(3600.0)
        assert sum(bucket.take() for _ in range(100)) == 5
