"""Weight versions of workers: planning and ordering the loads of announced versions."""
