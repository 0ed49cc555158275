"""The lab: a model of the farm in virtual time that hosts the real decisions."""
