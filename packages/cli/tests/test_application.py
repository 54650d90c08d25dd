"""Tests of the command line as a whole."""

from __future__ import annotations

import pytest
from berylstage_cli.application import OperatorApplication
from berylstage_cli.exit_codes import MEANINGS, ExitCode
from cleo.io.inputs.string_input import StringInput
from cleo.io.outputs.buffered_output import BufferedOutput


def broken(cfg):
    """Fail in a way that nobody foresaw."""
    raise RuntimeError("unforeseen")


def run(args: str):
    """Run the command line and return its exit code and what it wrote."""
    out, err = BufferedOutput(), BufferedOutput()
    code = OperatorApplication(broken).run(StringInput(args), out, err)
    return code, out.fetch(), err.fetch()


class TestRun:
    @pytest.mark.parametrize(
        ("args", "code"),
        [
            ("aply", ExitCode.USAGE),
            ("check", ExitCode.USAGE),
            ("check --foo x", ExitCode.USAGE),
            ("show --platform=127.0.0.1:1", ExitCode.DEFECT),
        ],
    )
    def test_codes_of_its_own(self, args, code):
        # A mistyped command or a defect must not look like a faulty sheet (1) to
        # the script that runs the morning's check.
        assert run(args)[0] == code

    @pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
    def test_completion(self, shell):
        code, out, _ = run(f"completions {shell}")
        assert code == ExitCode.OK
        assert "apply" in out

    def test_help(self):
        _, out, _ = run("apply --help")
        assert "BERYLSTAGE_PLATFORM" in out

    def test_each_exit_code_has_a_meaning(self):
        assert set(MEANINGS) == set(ExitCode)
