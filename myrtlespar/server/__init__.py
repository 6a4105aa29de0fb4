"""Start, reload, drain and hand-over of one server process."""
