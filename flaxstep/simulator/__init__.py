"""The lab: a discrete-event simulation of the farm that runs the real routing policy."""
