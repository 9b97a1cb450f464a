import pytest

from jaypier.scheduling.forecast import AVERAGE_SECONDS, ArrivalForecast


def play(rates: list[float], forecast: ArrivalForecast | None = None, start: int = 0):
    forecast = forecast or ArrivalForecast()
    for second, rate in enumerate(rates, start):
        for part in range(4):
            forecast.observe(rate / 4, second + part / 4)
    forecast.advance(float(start + len(rates)))
    return forecast


class TestForecast:
    def test_nothing_is_expected_before_the_first_arrival(self):
        forecast = ArrivalForecast()
        forecast.advance(5.0)
        assert forecast.expected == 0 and not forecast.is_falling

    def test_steady_arrivals_are_expected_at_their_average(self):
        forecast = play([2.0] * 40)
        assert forecast.expected == pytest.approx(2.0, rel=0.1)
        assert not forecast.is_falling

    @pytest.mark.parametrize("factor", [1.7, 2.6])
    def test_burst_is_expected_within_two_seconds(self, factor):
        forecast = play([2.0] * 30 + [2.0 * factor] * 2)
        assert forecast.expected > forecast.average

    @pytest.mark.parametrize("seconds", [3, 6])
    def test_burst_is_forgotten_within_three_seconds_of_its_end(self, seconds):
        forecast = play([0.5] * 30 + [4.0] * seconds + [0.5] * 3)
        assert forecast.expected < forecast.average
        assert forecast.is_falling

    def test_no_negative_amount_is_expected(self):
        forecast = play([8.0] * 6 + [0.0] * 4)
        assert forecast.expected >= 0

    def test_long_pause_starts_the_forecast_anew(self):
        forecast = play([8.0] * 6)
        forecast.advance(7.0 + 3 * AVERAGE_SECONDS)
        assert forecast.expected == 0 and forecast.error == 0
