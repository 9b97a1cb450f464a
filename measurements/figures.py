"""How figures are printed."""

import json
from typing import Any


def print_figure(name: str, value: float, unit: str, **context: Any) -> None:
    """Print one figure as a JSON line.

    :param context: what the figure depends on, for example the number of daemons.
    """
    line = {"figure": name, "value": round(value, 4), "unit": unit, **context}
    print(json.dumps(line), flush=True)
