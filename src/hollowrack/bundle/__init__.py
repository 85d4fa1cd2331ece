"""The signed, versioned document by which operators steer the fleet."""
