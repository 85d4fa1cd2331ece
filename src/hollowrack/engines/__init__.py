"""Orders to engines: one leader a zone, fenced by its ballot."""
