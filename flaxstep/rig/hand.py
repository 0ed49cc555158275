"""Release plans that were stored when the fault bench was flaxstep/rig call its commands by this path."""

import runpy
from pathlib import Path

if __name__ == "__main__":
    runpy.run_path(str(Path(__file__).parents[1] / "faultbench" / "commands.py"), run_name="__main__")
