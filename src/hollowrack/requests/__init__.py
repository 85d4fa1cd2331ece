"""The life of a caller's request: typed states, dispatch, retries, answers and claims."""
