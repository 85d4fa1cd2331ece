"""Node membership, failure detection and replicated facts (SWIM)."""
