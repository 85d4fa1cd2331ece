"""Renderer of ``docs/CAPACITY.md`` from the measured slopes."""

from dataclasses import dataclass
from typing import Any

NUM_NODES = 360
NUM_ENGINES = 600
NUM_ZONES = 7
REQUESTS_PER_S = 3100.0
TOKENS_PER_S = 1_000_000.0
UNSAFE_SHARE = 0.1
SAMPLES_PER_STEP = 3 * 512
STEP_S = 360.0
NUM_STORED_STEPS = 3
LEDGER_REPLICAS = 5
CLAIM_REPLICAS = 5
CLAIM_GROUPS = 8
NUM_ENDED_CLAIMS = 65_536
MAX_CPU_CORES = 0.04
MAX_SENT_BYTES_PER_S = 2000.0
MAX_MEMORY_BYTES = 64_000_000.0
_PLACEMENT_MESSAGE_BYTES = 400.0
_MB = 1_000_000.0


@dataclass(frozen=True)
class Row:
    """Table row: cost of one role at the target size."""

    role: str
    state: str
    messages: str
    cpu: str
    memory: str
    mechanism: str
    source: str


def render_page(slopes: dict[str, Any]) -> str:
    """Return the page as Markdown; the output is deterministic."""
    return "\n".join(
        [
            _INTRODUCTION,
            _table(_rows(slopes)),
            "",
            _limits(slopes),
            _EVENTS,
            "## Slopes",
            "",
            "| slope | value | unit | sizes | spread |",
            "| --- | --- | --- | --- | --- |",
            *(_slope_row(name, slope) for name, slope in slopes.items()),
            "",
            _GAPS,
            _USERS_PLATFORM,
        ]
    )


def _slope(slopes: dict[str, Any], name: str) -> float:
    return float(slopes[name]["slope"])


def _value_at(slopes: dict[str, Any], name: str, size: float) -> float:
    return float(slopes[name]["intercept"]) + size * _slope(slopes, name)


def _rows(slopes: dict[str, Any]) -> list[Row]:
    requests = REQUESTS_PER_S / NUM_NODES
    tokens = TOKENS_PER_S / NUM_NODES
    relay_cpu = requests * _slope(slopes, "relay_cpu_per_request") + tokens * _slope(
        slopes, "relay_cpu_per_token"
    )
    placements = REQUESTS_PER_S / NUM_ZONES
    placement_cpu = placements * _value_at(slopes, "placement_cpu_per_back_end", NUM_ENGINES)
    unsafe = REQUESTS_PER_S * UNSAFE_SHARE / CLAIM_GROUPS
    claim_cpu = unsafe * _slope(slopes, "claims_cpu_per_request")
    claim_memory = NUM_ENDED_CLAIMS * _slope(slopes, "memory_per_claim")
    # Samples per second of one of the three trainers.
    samples = SAMPLES_PER_STEP / STEP_S / 3
    ledger_cpu = samples * _slope(slopes, "ledger_cpu_per_sample")
    ledger_memory = 512 * NUM_STORED_STEPS * _slope(slopes, "memory_per_slot")
    gossip = _value_at(slopes, "membership_bytes_per_node_s", NUM_NODES)
    gossip_cpu = _value_at(slopes, "membership_cpu_per_node_s", NUM_NODES)
    gossip_memory = NUM_NODES * _slope(slopes, "memory_per_known_node")
    return [
        Row(
            "gateway (every node)",
            "running requests, 4,096 kept answers",
            f"{requests:.1f} requests, {tokens:,.0f} tokens a second",
            f"{relay_cpu:.1%} of a core (data, not control)",
            "16 MB of answers at most",
            "`requests/gateway.py`, bounded by `limits.max_requests`",
            "relay_cpu_per_request, relay_cpu_per_token",
        ),
        Row(
            "placement broker (one a zone and pool)",
            f"{NUM_ENGINES // NUM_ZONES} engines, placements in progress",
            f"{placements:.0f} placements a second, "
            f"{2 * placements * _PLACEMENT_MESSAGE_BYTES / 1000:.0f} KB/s with their ends",
            f"{placement_cpu:.0%} of a core",
            "under 1 MB",
            "`routing/broker.py`, rendezvous hash; local choice as fallback",
            "placement_cpu_per_back_end",
        ),
        Row(
            "claim replica (5 of each of 8 groups)",
            f"{NUM_ENDED_CLAIMS:,} ended claims",
            f"{unsafe:.0f} claims a second",
            f"{claim_cpu:.1%} of a core",
            f"{claim_memory / _MB:.0f} MB",
            "`requests/claims.py` on the replicated log",
            "claims_cpu_per_request, memory_per_claim",
        ),
        Row(
            "ledger replica (5 a run)",
            f"{512 * NUM_STORED_STEPS:,} slots with samples of 2,000 bytes",
            f"{samples:.1f} samples a second, "
            f"{samples * _slope(slopes, 'ledger_bytes_per_sample') / 1000:.1f} KB/s",
            f"{ledger_cpu:.2%} of a core",
            f"{ledger_memory / _MB:.1f} MB",
            "`rollout/ledger.py` on the replicated log",
            "ledger_cpu_per_sample, ledger_bytes_per_sample, memory_per_slot",
        ),
        Row(
            "membership (every node)",
            f"{NUM_NODES} members, some facts",
            f"{gossip:,.0f} bytes a second out",
            f"{gossip_cpu:.1%} of a core",
            f"{gossip_memory / _MB:.1f} MB",
            "`membership/swim.py`: ring of watched neighbours in the zone",
            "membership_bytes_per_node_s, membership_cpu_per_node_s, memory_per_known_node",
        ),
        Row(
            "bundle agent (every node)",
            "the bundle in force",
            "1,000 changes a day: one fact and one pull each",
            "not measured",
            "not measured",
            "`bundle/agent.py`: two store watchers a zone, peers for the rest",
            "none yet",
        ),
        Row(
            "zone leader",
            f"{NUM_ENGINES // NUM_ZONES} engines",
            "one order an engine and weight version (every 6 minutes)",
            "not measured",
            "not measured",
            "`engines/controller.py`, fenced by its ballot",
            "none yet",
        ),
        Row(
            "weight relay",
            "-",
            "-",
            "-",
            "-",
            "not built: engines read the weight store themselves",
            "none",
        ),
        Row(
            "configuration store, as we load it",
            "one key a bundle, group epoch and 8 claim groups",
            f"{2 * NUM_ZONES} reads a second; one write a bundle or membership change",
            "-",
            "-",
            "`clients/config_store.py`, create-only keys",
            "counted from the code, not measured",
        ),
    ]


def _table(rows: list[Row]) -> str:
    header = "| role | state | messages | processor | memory | mechanism | slopes |\n"
    header += "| --- | --- | --- | --- | --- | --- | --- |\n"
    return header + "\n".join(
        f"| {row.role} | {row.state} | {row.messages} | {row.cpu} | {row.memory} "
        f"| {row.mechanism} | {row.source} |"
        for row in rows
    )


def _limits(slopes: dict[str, Any]) -> str:
    gossip = _value_at(slopes, "membership_bytes_per_node_s", NUM_NODES)
    gossip_cpu = _value_at(slopes, "membership_cpu_per_node_s", NUM_NODES)
    slope = _slope(slopes, "membership_bytes_per_node_s")
    memory = NUM_NODES * _slope(slopes, "memory_per_known_node")
    return (
        "## Control against its limits, on a node without another role\n\n"
        f"- Bytes: {gossip:,.0f} of {MAX_SENT_BYTES_PER_S:,.0f} a second; {slope:+.2f} bytes a"
        " second for each further node.\n"
        f"- Processor: {gossip_cpu:.2%} of the allowed {MAX_CPU_CORES:.0%} of a core for"
        " membership alone; timers and polling of engines come on top (see the gaps).\n"
        f"- Memory: membership takes {memory / _MB:.1f}"
        f" of {MAX_MEMORY_BYTES / _MB:.0f} MB.\n"
    )


def _slope_row(name: str, slope: dict[str, Any]) -> str:
    sizes = ", ".join(f"{size:.0f}" for size in slope["sizes"])
    return f"| {name} | {slope['slope']:.3g} | {slope['unit']} | {sizes} | {slope['spread']:.1%} |"


_INTRODUCTION = f"""# Capacity

What each role costs at the size the design is made for: {NUM_NODES} nodes before {NUM_ENGINES}
workers on 4,800 accelerators, {REQUESTS_PER_S:,.0f} requests and {TOKENS_PER_S:,.0f} generated
tokens a second at the peak, three trainers with 512 samples a step, new weights every 6 minutes,
three regions with {NUM_ZONES} zones, 1,000 configuration changes a day.

Every figure is worked out from slopes that were measured on one machine with `hollowrack bench
capacity --write docs`, which makes this page anew. Nothing of this size has been run; the largest
membership that was run is 360 nodes of the protocol alone."""

_EVENTS = """## Failures of a day and of a year

- 12 machines failed, 170 restarted or replaced a day: each costs a membership change of the
  groups that counted on the node (one create-only write and one activation a group) and one full
  exchange. Planned stops are replaced before they go.
- A zone lost: its engines go with it; ledgers and claims keep three of five replicas, since
  replicas alternate between zones. Its members are not declared dead one by one.
- Regions cut from each other: groups go on where a majority of their members is; the others
  refuse unsafe requests as not run. Not measured at size.
"""

_GAPS = """## Gaps

- **Polling.** Every node polls every engine four times a second. At 360 nodes and 600 engines
  that is 864,000 calls a second: it does not fit. Mechanism: only the broker of a zone observes
  its engines, and brokers exchange sums. To be built with the watched workers of the control
  issue.
- **Relay.** One million tokens a second over 360 nodes is data, not control; where the table
  shows more than half a core, the streams of several tokens an event that engines can send are
  needed.
- **Broker.** One placement looks at every known back end. At 600 engines that must become an
  index by zone; beyond about 100 engines a zone the broker must be split by shard.
- **Claims.** Eight groups are a constant; at 310 unsafe requests a second their retention is
  minutes. The number of groups must follow the bundle.
- **Sample bodies** are in the log. At 16 KB a sample they should move to bulk files.
- **Weights** are read from the store by each engine: 600 reads instead of one a region.
- Orders, bundles, exchanges, the store's load, regions and the daily failures are not measured
  yet.
"""

_USERS_PLATFORM = """## On the users' platform

From two sizes of one deployment on their bench, a quiet day each (quiet-1, seed 101, commit
37060f8); the slope is a further node's, all else as on those days.

| | 9 edges, 1 trainer | 71 edges, 4 trainers | slope | at 360 |
| --- | --- | --- | --- | --- |
| edge: share of a core, mean | 0.039 | 0.032 | none | 0.03 |
| edge: share of a core, most | 0.10 | 0.18 | with trainers, not nodes | not known |
| edge: most memory | 49.5 MB | 52.0 MB | 0.04 MB | 64 MB: at the limit |
| storage: share of a core, memory | 0.003, 11.8 MB | 0.003, 11.8 MB | none | the same |
| calls to the store, renewals at a tenth | 632 | 3,596 | 48 a day | 17,500 a day |
| new connections to workers | 288 | 1,254 | 16 a day | 5,800 a day |

- **Node, session**: one lease, 2 renewals a second; 720 a second of the store's 2,000 reads. Fits
  barely; nodes that own nothing can do with longer leases.
- **All nodes, no leader**: each asks the store for three prefixes until there is a leader again. On
  the grown day 1,170 of 2,900 such calls came from one such time of 4 s (71 nodes); 360 nodes would
  make 6,000 in it. Since d049cc6 they pause in between; observers by zone are the next step.
- **Leader, watches of the store**: mirrors of all workers and routes; 5 calls a second whatever
  the size. Fits.
- **Leader, followers' watches**: 359 followers, 1.5 to 3 answers a second each, about 800 a second.
  Does not fit; observers by zone that watch the leader are the mechanism to build.
- **Watches between nodes**: an answer without changes has 163 bytes, 111 before it told the age of
  two other mirrors: 80 bytes a second more at 1.5 answers a second.
- **Usage counts**: each node says once a window how far its counts are complete, 72 messages of
  about 124 bytes a second to the leader at 360 nodes and windows of 5 s. Its processor time is not
  measured.
- **Job owner**: a step of 62 items took some 18 writes, listings and progress together. Fits.
- **Job owner, processor**: one node runs all items of a model. Not measured at 512 samples; the
  most loaded edge had 0.10 of a core with 62 items a step of 4 s.
- **Version reconciler**: two workers in five load at a time, 240 of 600; three rounds of about a
  second for each version. Fits by that count; the users' sheets bear it out up to 22 workers only.

Growth sweep of a deployment like the catalogue site at 30, 100 and 300 nodes (72139cb, beside other
load; the days at 100 and 300 nodes were given up at 466 s of processor time, that at 100 after 22 s
of the day, so their figures are of its first part and not of a clean day). Middle and busiest node;
the busiest grows as nodes to the power in the last column:

| | 30 | 100 | 300 | power |
| --- | --- | --- | --- | --- |
| edge: percent of a core | 9.4, 38 | 11.5, 83 | 10.7, 51 | 0.14 |
| edge: memory, MB | 50, 72 | 45, 64 | 52, 120 | 0.22 |
| edge: kB a second | 242, 1,647 | 243, 3,643 | 381, 8,740 | 0.72 |
| edge: connections | 31, 403 | 26, 685 | 22, 1,088 | 0.43 |
| edge: new connections a second | 3.9, 20 | 4.1, 91 | 4.5, 82 | 0.62 |
| configuration in force everywhere, ms | 0, 0 | 0, 319 | 80, 136 | 0.45 |

- The **kB a second of the busiest node** grow fastest: an owner of jobs sends every result to the
  node where its caller reads, and hosts answer watches.

Memory on the platform, VmRSS in MB, before and after part D of
`docs/design/0025-recovery-under-load.md` (commits c1bcfc7 and 32249ca, three real edge processes
with compiled sources against the stand-ins, three runs of each in turn; mean of the processes):

| kind | before | after | grows with |
| --- | --- | --- | --- |
| edge: interpreter and imports | 57.5 | 54.2 | the code only |
| edge: at start, ready | 58.4 | 55.1 | workers and routes, little here: 5 and 2 |
| edge: after 6 steps of 32 items | 60.2 | 56.8 | connections, message types in use |
| edge: the largest of the three then | 61.7 | 58.4 | jobs that are cached, see below |
| edge: after the first read of `/metrics` | 60.7 | 57.3 | nothing: the metrics library, once |
| edge: processor time until ready, s | 1.12 | 0.92 | the code only |
| storage | 20.4 | 9.6 | nothing |

- **Requests**: a node kept some 150 bytes of every request until its connection to the worker was
  closed (58.6, 59.1, 59.5 MB after 3,000, 6,000 and 9,000 plain requests); none since (58.1, 58.2,
  58.2 MB).
- **Jobs of an owner**: 2.1 kB for a short item with its result, until its job leaves the cache,
  which has room for 4 MB and 64 jobs; before, for 64 jobs of any size. After 100 steps of 64 items
  the largest node has 64.1 MB, 69.1 MB before.
"""
