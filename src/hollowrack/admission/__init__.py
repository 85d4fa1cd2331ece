"""Which live requests are let in, in which order, and which are refused early."""
