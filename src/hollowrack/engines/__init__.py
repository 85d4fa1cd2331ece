"""Engine control: one leader per zone orders weight versions, fenced by its ballot."""
