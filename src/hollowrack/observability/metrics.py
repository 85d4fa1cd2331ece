"""Prometheus metrics of a node; metric names include the units."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class NodeMetrics:
    """Metrics of one node in a separate registry, so that several nodes can share a process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = Counter(
            "hollowrack_requests_total",
            "Caller requests by face and result code",
            ["face", "code"],
            registry=self.registry,
        )
        self.request_seconds = Histogram(
            "hollowrack_request_seconds",
            "Time to the whole answer",
            ["face"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.tokens = Counter(
            "hollowrack_tokens_total",
            "Tokens generated, by what became of them",
            ["use"],
            registry=self.registry,
        )
        self.retries = Counter(
            "hollowrack_retries_total", "Attempts after the first", ["face"], registry=self.registry
        )
        self.samples = Counter(
            "hollowrack_samples_total", "Samples by outcome", ["outcome"], registry=self.registry
        )
        self.requests_running = Gauge(
            "hollowrack_requests_running", "Caller requests in progress", registry=self.registry
        )
        self.bundle_revision = Gauge(
            "hollowrack_bundle_revision", "Bundle revision in force", registry=self.registry
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self.registry)
