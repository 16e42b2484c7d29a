"""Query and command language, admin API and lynxctl."""
