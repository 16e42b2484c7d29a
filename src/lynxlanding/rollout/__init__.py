"""Version and adapter changes and the wind-down plan."""
