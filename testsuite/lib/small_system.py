"""A small complete system: three availability zones with an entry instance each, four engines, one service."""

import json
import pathlib

MODEL = "m-small"
TEAM = "thun"
SAMPLE = pathlib.Path(__file__).resolve().parent.parent.parent / "samples" / "demo.json"
ZONES = [("bern-1", "bern"), ("zurich-1", "zurich"), ("vaud-1", "vaud")]


def start(system, entry_args=()):
    """Starts all processes, applies the sample configuration and returns the secret of an API key."""
    system.start_platform()
    for number, (zone, region) in enumerate(ZONES, start=1):
        system.start_engine(f"engine-{number}", zone, region, MODEL, "--checks-fence")
    # The fourth engine does not check the fence of orders.
    system.start_engine("engine-4", ZONES[0][0], ZONES[0][1], MODEL)
    system.start_service("subsidy-1", ZONES[0][0], ZONES[0][1], "subsidies")
    for number, (zone, region) in enumerate(ZONES, start=1):
        system.start_entry(f"entry-{number}", zone, region, *entry_args)
    system.wait_ready()
    system.apply(json.loads(SAMPLE.read_text()))
    return system.issue_key("demo-key", TEAM)
