"""The explorer of fleet limits: three members under every schedule with a bounded number of faults."""
