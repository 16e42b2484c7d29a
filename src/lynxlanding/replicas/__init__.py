"""Planning and control of replica groups on model engines."""
