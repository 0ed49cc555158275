"""The rig: many processes of the program, with faults between them, and a judge of what happened."""
