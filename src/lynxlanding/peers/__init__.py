"""Discovery of nodes and exchange of load reports between them."""
