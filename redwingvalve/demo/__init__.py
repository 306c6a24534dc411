"""The main job in one process: every role and the stand-ins on one loop."""
