#!/usr/bin/env python3
"""Plays simulated days of deployments with mechanisms switched, and tabulates the score (worth) of each day.

Days are played in scratch copies of the committed tree with the binary in target/, without charging processor time, so that a rerun
gives identical figures. With --keep-journal the journal entries of the plays are copied to journal/.

  scripts/play_days.py --player PATH --sites DIR gopherline-hub mawqif-cloud --seeds 0,1,2
  scripts/play_days.py --player PATH --sites DIR mawqif-cloud-large --small --shrink 5 --no-own --jobs 2
  scripts/play_days.py --player PATH --sites DIR gopherline-hub --ablation --csv docs/design/ablation.csv
"""
import argparse
import concurrent.futures
import csv
import json
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_PARALLEL_MACHINES = 80  # largest number of machines with which days are played in parallel
MIN_PRINTED_PRICE = 0.002  # lowest price that is printed, as a share of the day's worth
STANDARD_SEED = "0"  # means the day's own seed


def find_site(sites, name):
    """Returns the file of a deployment, anywhere below the folder."""
    found = sorted(sites.rglob(name + ".toml"))
    if not found:
        sys.exit(f"no {name}.toml below {sites}")
    return found[0]


def standard_days(site, quiet):
    """Returns the names of the quiet standard days of a deployment, or of all others."""
    days = tomllib.loads(site.read_text())["day"]
    return [day["name"] for day in days if (day["slot"] == "quiet") == quiet]


def with_shrink(text, shrink):
    """Returns the text of a day with the shrink factor of its small twin replaced."""
    return re.sub(r"(?m)^(small = .*?shrink = )[\d.]+", rf"\g<1>{shrink}", text)


def twin_days(site, names, shrink, folder):
    """Writes the named days with twins of another size to files: comparing sizes shows what grows with the number of instances."""
    blocks = re.split(r"(?m)^\[\[day\]\]\n", site.read_text())[1:]
    paths = []
    for block in blocks:
        name = tomllib.loads(block)["name"]
        if name not in names:
            continue
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(with_shrink(block, shrink))
        paths.append(str(path))
    return paths


def machine_count(site):
    return sum(machines["count"] for machines in tomllib.loads(site.read_text())["machines"])


def fill_template(text, site):
    """Fills in the template of an own day: @c0, @s0 and @z0 are the deployment's first request class, pool and data hall, @z1 the next hall."""
    parsed = tomllib.loads(site.read_text())
    for letter, table in (("c", "classes"), ("s", "services"), ("z", "zones")):
        for number, each in enumerate(parsed.get(table, [])):
            text = re.sub(rf"@{letter}{number}\b", each["name"], text)
    return text


def has_placement(site):
    """Returns whether halls of the deployment can be evacuated, which the placement days (places_*) need."""
    return "places" in tomllib.loads(site.read_text()).get("contracts", [])


def own_days(site, folder, small, shrink=None):
    """Writes the own days of this repository, filled in for a deployment, to a folder. Large deployments are played only as small twins."""
    twin = re.search(r"(?m)^small = .*$", site.read_text())
    if machine_count(site) > MAX_PARALLEL_MACHINES and not (small and twin):
        print(f"own days of {site.stem} left out: deployment too large; --small plays its twins", file=sys.stderr)
        return []
    paths = []
    for template in sorted((ROOT / "deploy/days").glob("*.toml")):
        if template.name.startswith("places_") and not has_placement(site):
            continue
        path = folder / f"{site.stem}-{template.name}"
        text = fill_template(template.read_text(), site)
        if small and twin:
            text = re.sub(r"(?m)^(name = .*)$", lambda line: line[1] + "\n" + twin[0], text)
        if shrink:
            text = with_shrink(text, shrink)
        path.write_text(text)
        paths.append(str(path))
    return paths


def make_scratch_copy(folder, switches, binary):
    """Returns a copy of the committed tree whose instances run the binary with the switches."""
    subprocess.run(["git", "clone", "-q", "--shared", str(ROOT), str(folder)], check=True)
    (folder / "target").mkdir()
    shutil.copy(binary, folder / "target/cottonspool")
    deploy = folder / "deploy/system.toml"
    text = re.sub(r"(?m)^build = .*$", 'build = "true"', deploy.read_text())
    flag = f" --switch={switches}" if switches else ""
    deploy.write_text(re.sub(r"(?m)^(run = .*gateway)\"$", rf'\g<1>{flag}"', text))
    return folder


def play(player, copy, site, day, seed, label, small):
    """Plays one day. Returns its worth, the broken rules, and the counted items with amount and price."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        command = [player, "run", str(site), day, "--no-cpu", "--report", report.name, "--why", f"Trial: {label}"]
        if seed != STANDARD_SEED:
            command += ["--seed", seed]
        if small:
            command.append("--small")
        process = subprocess.run(command, cwd=copy, capture_output=True, text=True)
        try:
            result = json.loads(Path(report.name).read_text())
        except json.JSONDecodeError:
            sys.exit(f"{label} {site.stem} {day}: {process.stdout[-400:]}{process.stderr[-400:]}")
    broken = list(result["breaks"]) + ([result["fault"]] if result["fault"] else [])
    counts = {name: (amount, price) for name, amount, price in result["prices"]}
    return result["G"], broken, counts


def switch_names():
    listed = subprocess.run([ROOT / "target/cottonspool", "gateway", "--switch=help"], capture_output=True, text=True, check=True)
    return [line.split(":")[0] for line in listed.stdout.splitlines()]


def mean(values):
    return sum(values) / len(values) if values else float("nan")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("names", nargs="+", help="deployments")
    parser.add_argument("--player", required=True, help="the program that plays days")
    parser.add_argument("--sites", required=True, type=Path, help="folder with the deployment files")
    parser.add_argument("--seeds", default=STANDARD_SEED, help="seeds, separated by commas; 0 is the day's own")
    parser.add_argument("--switch", default="", help="mechanisms to switch in all plays, as for --switch of the gateway")
    parser.add_argument("--ablation", action="store_true", help="switch each mechanism in turn")
    parser.add_argument("--binary", type=Path, default=ROOT / "target/cottonspool", help="program that the instances run")
    parser.add_argument("--label", default="", help="purpose of the trial, for the journal")
    parser.add_argument("--small", action="store_true", help="play small twins of large deployments")
    parser.add_argument("--shrink", type=float, help="with --small: how many times smaller the twins are")
    parser.add_argument("--only", default="", help="only these own days, separated by commas, and no standard days")
    parser.add_argument("--no-own", action="store_true", help="standard days only")
    parser.add_argument("--csv", type=Path, help="file for the table")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--keep-journal", action="store_true")
    args = parser.parse_args()
    variants = [args.switch] + (switch_names() if args.ablation else [])
    player = str(Path(args.player).resolve())
    with tempfile.TemporaryDirectory() as scratch_name, concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        scratch = Path(scratch_name)
        work = []
        for variant in variants:
            copy = make_scratch_copy(scratch / f"tree-{len(work)}", variant, args.binary)
            for name in args.names:
                site = find_site(args.sites.resolve(), name)
                groups = {"trouble": standard_days(site, False), "quiet": standard_days(site, True)}
                if args.shrink:
                    groups = {group: twin_days(site, days, args.shrink, scratch) for group, days in groups.items()}
                if args.only:
                    wanted = tuple(f"-{day}.toml" for day in args.only.split(","))
                    groups = {"own": [day for day in own_days(site, scratch, args.small, args.shrink) if day.endswith(wanted)]}
                elif not args.no_own:
                    groups["own"] = own_days(site, scratch, args.small, args.shrink)
                for group, days in groups.items():
                    for day in days:
                        for seed in args.seeds.split(","):
                            label = args.label or variant or "nothing switched"
                            future = pool.submit(play, player, copy, site, day, seed, label, args.small)
                            work.append((variant, name, group, day, seed, copy, future))
        rows = collect(work, args.names, variants)
        prices = collect_prices(work)
        if args.keep_journal:
            copy_journal({copy for *_, copy, _ in work})
    print_table(rows, args.names)
    print_prices(prices)
    if args.csv:
        with args.csv.open("w", newline="") as out:
            csv.writer(out).writerows([["switched", "deployment", "days", "worth", "difference", "broken"]] + rows)


def collect(work, names, variants):
    """Returns the mean worth of each variant, deployment and group of days, and its difference from the first variant."""
    worth, broken, base = {}, {}, {}
    for variant, name, group, day, seed, _, future in work:
        value, rules, _ = future.result()
        worth.setdefault((variant, name, group), []).append(value)
        broken.setdefault((variant, name, group), []).extend(f"{Path(day).stem}/{seed}:{rule}" for rule in rules)
        if group == "own":
            worth.setdefault((variant, name, Path(day).stem.removeprefix(name + "-")), []).append(value)
    rows = []
    for (variant, name, group), values in worth.items():
        base.setdefault((name, group), mean(values))
        rules = " ".join(broken.get((variant, name, group), []))
        rows.append([variant or "nothing", name, group, f"{mean(values):.4f}", f"{mean(values) - base[(name, group)]:+.4f}", rules])
    return rows


def collect_prices(work):
    """Returns the mean amount and price of each counted item, by variant, deployment and group of days."""
    samples = {}
    for variant, name, group, _, _, _, future in work:
        for counted, (amount, price) in future.result()[2].items():
            samples.setdefault((variant, name, group, counted), []).append((amount, price))
    return {key: tuple(mean(column) for column in zip(*values)) for key, values in samples.items()}


def print_prices(prices):
    """Prints one line for each counted item whose price is at least MIN_PRINTED_PRICE."""
    print("\n| switched | deployment | days | counted | amount | price |\n| --- | --- | --- | --- | --- | --- |")
    for (variant, name, group, counted), (amount, price) in prices.items():
        if abs(price) >= MIN_PRINTED_PRICE:
            print(f"| {variant or 'nothing'} | {name} | {group} | {counted} | {amount:.1f} | {price:.4f} |")


def print_table(rows, names):
    """Prints one line for each variant and one column for each deployment and group, with the worth and its difference."""
    groups = sorted({(row[1], row[2]) for row in rows}, key=lambda pair: (names.index(pair[0]), pair[1]))
    print("| switched | " + " | ".join(f"{name} {group}" for name, group in groups) + " | rules broken |")
    print("| --- |" + " --- |" * (len(groups) + 1))
    for variant in dict.fromkeys(row[0] for row in rows):
        cells = {(row[1], row[2]): row for row in rows if row[0] == variant}
        values = [f"{cells[key][3]} {cells[key][4]}" for key in groups]
        broken = " ".join(row[5] for row in cells.values() if row[5])
        print(f"| {variant} | " + " | ".join(values) + f" | {broken} |")


def copy_journal(copies):
    """Copies the journal entries of the plays to the journal of this tree."""
    for copy in copies:
        known = set(subprocess.run(["git", "ls-files", "journal"], cwd=copy, capture_output=True, text=True).stdout.split())
        staged = subprocess.run(["git", "diff", "--name-only", "HEAD", "--", "journal"], cwd=copy, capture_output=True, text=True)
        for entry in set(staged.stdout.split()) | known:
            if not (ROOT / entry).exists():
                shutil.copy(copy / entry, ROOT / entry)


if __name__ == "__main__":
    main()
