#!/usr/bin/env python3
"""Tests that docs/design/permitted.md names options of stand-ins, scenarios and unit tests that exist, and that each row has all of them."""
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COLUMNS = 5


def sources(folder, pattern):
    """Returns the texts of the files in a folder, joined."""
    return "\n".join(path.read_text() for path in sorted((ROOT / folder).glob(pattern)))


class PermittedTest(unittest.TestCase):
    def setUp(self):
        lines = (ROOT / "docs/design/permitted.md").read_text().splitlines()
        table = [line for line in lines if line.startswith("|")][2:]
        self.rows = [[cell.strip() for cell in line.strip("|").split(" | ")] for line in table]
        self.standins = sources("tests/standins", "*.cpp") + sources("tests/standins", "*.h")
        self.runner = sources("tests/runner", "*.cpp")
        self.unit_tests = re.findall(r'TEST_CASE\("([^"]*)"', sources("src/tests", "*.cpp"))

    def is_option(self, option):
        kind, _, name = option.partition("=")
        found = {
            "do": f'action == "{name}"' in self.standins,
            "store": f'"{name}"' in self.standins,
            "links": f'"{name}"' in (ROOT / "tests/standins/link_cut.cpp").read_text(),
            "request": f'"{name}"' in self.runner,
            "flag": re.search(rf"DEFINE_\w+\({name},", self.standins) is not None,
            "signal": not name,
            "socket": not name,
        }
        return found.get(kind, False)

    def is_test(self, test):
        kind, _, name = test.partition(" ")
        if kind == "scenario":
            return (ROOT / f"tests/scenarios/{name}.lua").exists()
        return kind == "unit" and any(each.startswith(name) for each in self.unit_tests)

    def test_rows_are_complete(self):
        self.assertGreater(len(self.rows), 0)
        for row in self.rows:
            self.assertEqual(len(row), COLUMNS, row)
            self.assertTrue(all(row), row)

    def test_options_exist(self):
        for row in self.rows:
            for option in row[2].split(", "):
                self.assertTrue(self.is_option(option), f"{option} in: {row[0]}")

    def test_tests_exist(self):
        for row in self.rows:
            for test in row[3].split(", "):
                self.assertTrue(self.is_test(test), f"{test} in: {row[0]}")

    def test_what_does_not_exist_is_noticed(self):
        for option in ("do=fly", "links=melt", "flag=none_such", "wish", "signal=9"):
            self.assertFalse(self.is_option(option), option)
        for test in ("scenario none_such", "unit None such", "trial platform_store"):
            self.assertFalse(self.is_test(test), test)


if __name__ == "__main__":
    unittest.main()
