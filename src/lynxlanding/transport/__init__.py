"""HTTP connections whose responses are bounded in size and time."""
