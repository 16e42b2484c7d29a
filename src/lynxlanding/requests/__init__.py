"""Claims of requests with idempotency keys, attempts at endpoints and stream forwarding."""
