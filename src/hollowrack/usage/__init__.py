"""Usage reporting: requests per tenant that workers began, reported per time window."""
