"""How a command says that it can't do what was asked."""

from __future__ import annotations

import click


class CommandError(click.ClickException):
    """What was asked can't be done: one line, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"flaxstep: {self.format_message()}", err=True)
