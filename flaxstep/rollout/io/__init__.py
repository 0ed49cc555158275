"""What releases touch: doors, the list, commands, and the file that their state is in."""
