#!/usr/bin/env python3
"""Tests which days scripts/play_days.py selects for a large deployment."""
import importlib.util
import tempfile
import tomllib
import unittest
from pathlib import Path

SCRIPT = Path(__file__).resolve().parents[2] / "scripts/play_days.py"
SPEC = importlib.util.spec_from_file_location("play_days", SCRIPT)
play_days = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(play_days)

SITE = """
machines = [{ class = "front", count = 200 }]
services = [{ name = "engines", llm = { slots = 24 } }]

[[day]]
name = "calm"
slot = "quiet"
small = { shrink = 19.0, machines = [{ class = "front", count = 64 }] }

[[day]]
name = "stormy"
slot = "trouble"
small = { shrink = 19.0, machines = [{ class = "front", count = 64 }] }
"""


class PlayDaysTest(unittest.TestCase):
    def setUp(self):
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = Path(self.scratch.name)
        self.site = self.folder / "large.toml"
        self.site.write_text(SITE)

    def tearDown(self):
        self.scratch.cleanup()

    def test_twins_of_another_size_differ_only_in_shrink(self):
        names = play_days.standard_days(self.site, quiet=False)
        self.assertEqual(names, ["stormy"])
        (path,) = play_days.twin_days(self.site, names, 5.0, self.folder)
        day = tomllib.loads(Path(path).read_text())
        self.assertEqual(day["small"]["shrink"], 5.0)
        day["small"]["shrink"] = 19.0
        self.assertEqual(day, tomllib.loads(SITE)["day"][1])

    def test_own_days_of_large_deployments_are_played_only_as_twins(self):
        self.assertEqual(play_days.own_days(self.site, self.folder, small=False), [])
        for path in play_days.own_days(self.site, self.folder, small=True, shrink=5.0):
            self.assertEqual(tomllib.loads(Path(path).read_text())["small"]["shrink"], 5.0)

    def test_placement_days_need_halls_that_can_be_evacuated(self):
        named = lambda: [path for path in play_days.own_days(self.site, self.folder, small=True) if "places_" in path]
        self.assertEqual(named(), [])
        self.site.write_text('contracts = ["places"]\nzones = [{ name = "east" }, { name = "west" }]\n' + SITE)
        self.assertGreater(len(named()), 3)
        for path in named():
            self.assertNotIn("@", Path(path).read_text())


if __name__ == "__main__":
    unittest.main()
