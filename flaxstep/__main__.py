"""Runs the flaxstep command line."""

from flaxstep.cli import main

if __name__ == "__main__":
    main(prog_name="flaxstep")
