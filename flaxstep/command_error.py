"""The error that a command reports when it cannot do what was asked."""

from __future__ import annotations

import click


class CommandError(click.ClickException):
    """The command cannot do what was asked: one line on standard error, exit code 2."""

    exit_code = 2

    def show(self, file: object = None) -> None:
        click.echo(f"flaxstep: {self.format_message()}", err=True)
