"""The control loop of the controller daemon: plans, replicas and moves."""
