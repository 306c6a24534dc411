"""In-process fakes of the users' platform that speak its protocol."""
