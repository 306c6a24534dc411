"""The program of a VM: serves callers and takes its part in control."""
