"""Prometheus metrics of an edge node, collected on each scrape.

The metrics library is imported on the first scrape, to save start-up time and memory.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate
from typing import TYPE_CHECKING

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from hollowrack.clock import now_s
from hollowrack.edge_node import EdgeNode
from hollowrack.forwarding.dispatch_statistics import BUCKET_BOUNDS_S, WaitHistogram
from hollowrack.regions.distance import Distance

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

METRICS_PATH = "/metrics"
MEDIA_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@dataclass
class EdgeCounters:
    """Counters incremented as events happen.

    Attributes:
        answers: Responses to clients by name of the result code; responses from workers count
            as ``OK``.
        store_calls: Calls to the platform's store by kind.
        unreadable_entries: Store changes that could not be decoded, by key prefix.
        suspended_s: Total time the machine was suspended while the process ran, in seconds.
    """

    answers: Counter[str] = field(default_factory=Counter)
    store_calls: Counter[str] = field(default_factory=Counter)
    unreadable_entries: Counter[str] = field(default_factory=Counter)
    suspended_s: float = 0.0

    def add_suspended(self, seconds: float) -> None:
        """Add a period in which the machine was suspended, in seconds."""
        self.suspended_s += seconds


class EdgeCollector:
    """Prometheus collector that reads the state of an edge node.

    Args:
        node: Node whose state is read.
        counts: Counters of the process.
    """

    def __init__(self, node: EdgeNode, counts: EdgeCounters) -> None:
        self._node = node
        self._counts = counts

    def collect(self) -> Iterator["Metric"]:
        """Yield the current values of all metrics."""
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        answers = CounterMetricFamily(
            "hollowrack_answers", "Answers by result code", labels=["code"]
        )
        for code, count in self._counts.answers.items():
            answers.add_metric([code], count)
        yield answers
        store_calls = CounterMetricFamily(
            "hollowrack_store_calls", "Calls to the store by kind", labels=["kind"]
        )
        for kind, count in self._counts.store_calls.items():
            store_calls.add_metric([kind], count)
        yield store_calls
        unreadable_entries = CounterMetricFamily(
            "hollowrack_unreadable_entries",
            "Changes of the store that could not be read, by prefix",
            labels=["prefix"],
        )
        for prefix, count in self._counts.unreadable_entries.items():
            unreadable_entries.add_metric([prefix], count)
        yield unreadable_entries
        given_up = CounterMetricFamily(
            "hollowrack_items_given_up", "Items given up here by reason", labels=["reason"]
        )
        for reason, count in self._node.services.num_given_up.items():
            given_up.add_metric([reason.name], count)
        yield given_up
        disconnects = CounterMetricFamily(
            "hollowrack_requests_broken_off", "By a worker, by what became of it", labels=["worker"]
        )
        for cause, count in self._node.quarantine.crash_detector.num_disconnects.items():
            disconnects.add_metric([cause.name], count)
        yield disconnects
        workers = GaugeMetricFamily(
            "hollowrack_workers", "Workers known, by service and state", labels=["service", "state"]
        )
        for (service, state), count in self._workers().items():
            workers.add_metric([service, state], count)
        yield workers
        yield from self._kept_workers()
        yield from self._slots()
        yield from self._evacuations()
        yield from self._distances()
        yield from self._cold_workers()
        yield from self._usage()
        yield CounterMetricFamily(
            "hollowrack_second_attempts",
            "Attempts of plain requests begun beside one that was late",
            value=self._node.forwarder.hedging.budget.num_retries,
        )
        yield CounterMetricFamily(
            "hollowrack_suspended_seconds",
            "How long the machine was suspended while this process ran",
            value=self._counts.suspended_s,
        )
        yield self._refusals()
        yield from self._regions()
        yield self._job_regions()
        yield self._waits()
        for name, description, value in self._gauges():
            yield GaugeMetricFamily(name, description, value=value)

    def _refusals(self) -> "Metric":
        from prometheus_client.core import CounterMetricFamily  # noqa: PLC0415 (lazy import)

        refusals = CounterMetricFamily(
            "hollowrack_runs_refused",
            "Runs that workers certainly did not begin",
            labels=["service", "reason"],
        )
        for (service, reason), count in self._node.queue.statistics.num_refusals.items():
            refusals.add_metric([service, reason.name], count)
        return refusals

    def _regions(self) -> Iterable["Metric"]:
        from prometheus_client.core import CounterMetricFamily  # noqa: PLC0415 (lazy import)

        stopped = CounterMetricFamily(
            "hollowrack_sends_stopped",
            "Requests that were not sent to the chosen worker, by the condition not met",
            labels=["condition"],
        )
        for condition, count in self._node.back_ends.num_stopped.items():
            stopped.add_metric([condition], count)
        refused = CounterMetricFamily(
            "hollowrack_requests_refused_by_regions",
            "Requests refused as no worker in their allowed regions was known, by service",
            labels=["service"],
        )
        for service, count in self._node.workers.num_refused_by_regions.items():
            refused.add_metric([service], count)
        return stopped, refused

    def _job_regions(self) -> "Metric":
        from prometheus_client.core import CounterMetricFamily  # noqa: PLC0415 (lazy import)

        events = CounterMetricFamily(
            "hollowrack_job_regions",
            "Decisions made because of the allowed regions of a job",
            labels=["event"],
        )
        for event, count in self._node.live.regions.num_events.items():
            events.add_metric([event.name], count)
        return events

    def _waits(self) -> "Metric":
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            HistogramMetricFamily,
        )

        waits = HistogramMetricFamily(
            "hollowrack_wait_seconds", "How long runs and items wait, by place", labels=["place"]
        )
        for place, histogram in self._node.queue.statistics.waits.items():
            waits.add_metric([place.value], _buckets(histogram), histogram.sum_s)
        return waits

    def _slots(self) -> Iterator["Metric"]:
        """Yield the metrics of slot sharing with other nodes."""
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        sharing = self._node.slots
        usages = {service: sharing.holder.usage(service) for service in sharing.shared_services()}
        descriptions = {
            "granted": "Slots of workers granted to this node",
            "used": "Requests of this node at workers whose slots are shared",
            "contended": "Whether there is more work than slots",
            "grant_age_seconds": "Age of the grant in force; none without one",
        }
        gauges = {
            name: GaugeMetricFamily(f"hollowrack_slots_{name}", description, labels=["service"])
            for name, description in descriptions.items()
        }
        for service, usage in usages.items():
            gauges["granted"].add_metric([service], usage.granted)
            gauges["used"].add_metric([service], usage.used)
            gauges["contended"].add_metric([service], usage.is_contended)
            if usage.grant_age_s is not None:
                gauges["grant_age_seconds"].add_metric([service], usage.grant_age_s)
        yield from gauges.values()
        refused_messages = CounterMetricFamily(
            "hollowrack_slot_messages_refused", "By what they are", labels=["message"]
        )
        refused_messages.add_metric(["report"], sharing.arbiter.num_refused)
        refused_messages.add_metric(["grant"], sharing.holder.num_refused)
        yield refused_messages

    def _kept_workers(self) -> Iterator["Metric"]:
        """Yield the metrics of workers that are used although their entries are missing."""
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        kept_workers = self._node.kept_workers
        yield GaugeMetricFamily(
            "hollowrack_workers_kept",
            "Workers used now although their entries expired during an outage of the store",
            value=kept_workers.num_kept,
        )
        ended = CounterMetricFamily(
            "hollowrack_workers_kept_ended",
            "Such workers, by what became of them",
            labels=["outcome"],
        )
        for outcome, count in kept_workers.num_by_outcome.items():
            ended.add_metric([outcome.value], count)
        yield ended

    def _evacuations(self) -> Iterator["Metric"]:
        """Yield the metrics of evacuated zones; without any, only their number."""
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        evacuated = self._node.evacuated
        yield GaugeMetricFamily(
            "hollowrack_zones_evacuated", "Zones evacuated now", value=len(evacuated.zones)
        )
        ages = GaugeMetricFamily(
            "hollowrack_zone_evacuated_seconds",
            "Since this node knows of the evacuation, by zone",
            labels=["zone"],
        )
        for zone, age_s in evacuated.ages_s().items():
            ages.add_metric([zone], age_s)
        yield ages
        stopped = CounterMetricFamily(
            "hollowrack_zone_requests_stopped",
            "Requests stopped before they were sent to a worker of an evacuated zone",
            labels=["zone"],
        )
        for zone, count in evacuated.num_stopped.items():
            stopped.add_metric([zone], count)
        yield stopped

    def _distances(self) -> Iterator["Metric"]:
        """Yield the metrics of the distances that requests travel, and of the links to regions."""
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        workers = self._node.workers
        sent = CounterMetricFamily(
            "hollowrack_requests_sent", "Requests sent to workers by distance", labels=["distance"]
        )
        for distance in Distance:
            sent.add_metric([distance.name], workers.num_sent[distance])
        yield sent
        extra = GaugeMetricFamily(
            "hollowrack_region_extra_seconds",
            "How much longer requests to another region take, as measured or assumed",
            labels=["region"],
        )
        for region, extra_s in workers.loads.links.by_region().items():
            extra.add_metric([region], extra_s)
        yield extra

    def _usage(self) -> Iterator["Metric"]:
        """Yield the metrics of usage reports; none where their delay is not bounded."""
        from prometheus_client.core import CounterMetricFamily  # noqa: PLC0415 (lazy import)

        reporter = self._node.leader_duties.reporter
        if reporter is None or not reporter.has_bound:
            return
        reports = CounterMetricFamily(
            "hollowrack_usage_reports", "Usage reports delivered by this node", labels=["state"]
        )
        for state, count in reporter.num_delivered.items():
            reports.add_metric([state], count)
        yield reports
        yield CounterMetricFamily(
            "hollowrack_usage_unreported_requests",
            "Requests counted after this node had decided their window",
            value=reporter.num_unreported,
        )

    def _cold_workers(self) -> Iterator["Metric"]:
        """Yield the metrics of cold workers; none where requests to them are not limited."""
        from prometheus_client.core import (  # noqa: PLC0415 (lazy import)
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        control = self._node.cold_workers
        if control is None:
            return
        cold = GaugeMetricFamily(
            "hollowrack_cold_workers",
            "Workers whose requests are limited while they warm up",
            labels=["service"],
        )
        for service, count in control.num_cold().items():
            cold.add_metric([service], count)
        yield cold
        permits = CounterMetricFamily(
            "hollowrack_cold_permits",
            "Permits of this node for cold workers, by what became of them",
            labels=["service", "state"],
        )
        counts = {
            "asked": control.requester.num_asked,
            "granted": control.permits.num_granted,
            "used": control.permits.num_used,
            "expired": control.permits.num_expired,
        }
        for state, count_by_service in counts.items():
            for service, count in count_by_service.items():
                permits.add_metric([service, state], count)
        yield permits
        yield CounterMetricFamily(
            "hollowrack_cold_permits_issued",
            "Permits that this node has granted to all nodes as the leader",
            value=control.arbiter.num_granted,
        )
        rejected = CounterMetricFamily(
            "hollowrack_cold_permit_messages_rejected", "By what they are", labels=["message"]
        )
        rejected.add_metric(["request"], control.arbiter.num_refused)
        rejected.add_metric(["grant"], control.requester.num_rejected)
        yield rejected

    def _workers(self) -> Counter[tuple[str, str]]:
        return Counter(
            (worker.service, "leaving" if worker.is_leaving else "serving")
            for worker in self._node.workers.all()
        )

    def _gauges(self) -> Iterable[tuple[str, str, float]]:
        node = self._node
        now = now_s()
        session_left_s = max(0.0, node.session.valid_until_s - now)
        return (
            ("hollowrack_configuration_version", "In force; 0: none", node.routes.version or 0),
            ("hollowrack_is_leader", "Whether this node leads", node.leadership.is_leader),
            ("hollowrack_session_left_seconds", "Until the lease may be over", session_left_s),
            ("hollowrack_live_nodes", "Live processes known", len(node.live.nodes)),
            ("hollowrack_jobs_open", "Unfinished jobs known", len(node.live.open_jobs)),
            (
                "hollowrack_jobs_with_regions",
                "Stored jobs that have allowed regions",
                node.live.regions.num_jobs,
            ),
            ("hollowrack_jobs_owned", "Unfinished jobs run here", node.jobs.num_running),
            (
                "hollowrack_requests_suspected",
                "Requests under which a worker ended, quarantined ones included",
                node.quarantine.registry.num_suspects,
            ),
            (
                "hollowrack_requests_quarantined",
                "Requests that are not sent to workers, as too many ended under them",
                node.quarantine.registry.num_quarantined,
            ),
            (
                "hollowrack_workers_of_unknown_region",
                "Workers in zones that the settings name no region for; 0 without regions",
                node.workers.num_of_unknown_region(),
            ),
            ("hollowrack_items_waiting", "Items waiting for a worker", node.queue.num_waiting),
            (
                "hollowrack_scorer_calls_waiting",
                "Scorer calls waiting here, so that others find slots at their workers",
                node.forwarder.call_limiter.num_waiting,
            ),
            (
                "hollowrack_store_heard_age_seconds",
                "Since the store answered this node, or one that it learnt from",
                now - node.shared_store.last_answer_s(None),
            ),
            (
                "hollowrack_configuration_age_seconds",
                "Since the store confirmed the configuration that is known here",
                node.configuration_age_s,
            ),
        )


def _buckets(histogram: WaitHistogram) -> list[tuple[str, float]]:
    """Return cumulative buckets in the format of the metrics library."""
    bounds = [*(str(bound) for bound in BUCKET_BOUNDS_S), "+Inf"]
    return list(zip(bounds, accumulate(map(float, histogram.counts)), strict=True))


def metrics_routes(node: EdgeNode, counts: EdgeCounters) -> list[Route]:
    """Return the route that serves a node's metrics in the Prometheus text format."""

    async def render(request: Request) -> Response:
        del request
        from prometheus_client import (  # noqa: PLC0415 (lazy import)
            CollectorRegistry,
            generate_latest,
        )

        registry = CollectorRegistry(auto_describe=False)
        registry.register(EdgeCollector(node, counts))
        return Response(generate_latest(registry), media_type=MEDIA_TYPE)

    return [Route(METRICS_PATH, render, methods=["GET"])]
