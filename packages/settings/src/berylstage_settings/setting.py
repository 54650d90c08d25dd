"""Definition of a setting, and reading of a table of settings."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from berylstage_settings.errors import FaultySettings, SettingFault

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

ENVIRONMENT_PREFIX = "BERYLSTAGE_"

T = TypeVar("T")


class Setting:
    """Definition of one setting.

    Parameters
    ----------
    name : str
        Name of the flag; the name of the environment variable is derived from it.
    parse : callable
        Converts text to the value; raises ValueError with a message that says which
        values are valid.
    meaning : str
        Description for ``--help`` and the operators' pages.
    default : str or callable or None
        Text to parse when the setting is not given, or a callable that returns it.
    default_text : str, optional
        Description of the default, where the default itself does not explain it.
    required : bool
        Whether the setting must be given. An optional setting without a default is
        None when it is not given.
    """

    __slots__ = ("name", "parse", "meaning", "default", "default_text", "required")

    def __init__(
        self,
        name: str,
        parse: Callable[[str], Any],
        meaning: str,
        default: str | Callable[[], str] | None = None,
        default_text: str | None = None,
        required: bool = False,
    ):
        self.name = name
        self.parse = parse
        self.meaning = meaning
        self.default = default
        default_description = "must be given" if required else default or "none"
        self.default_text = default_text or str(default_description)
        self.required = required

    @property
    def attribute(self) -> str:
        """Name of the attribute that holds the value."""
        return self.name.replace("-", "_")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.attribute.upper()

    def value(self, text: str | None) -> Any:
        """Return the parsed value, or the default if the setting is not given.

        Parameters
        ----------
        text : str or None
            Text of the setting; None when it is not given.

        Returns
        -------
        object
            Value that the parser returned; None without text and default.

        Raises
        ------
        SettingFault
            The setting is required but not given, or its text is invalid.
        """
        if not text:
            if self.required:
                raise SettingFault(
                    self.name,
                    f"--{self.name} is not set; give it or {self.variable}: "
                    f"{self.meaning}",
                )
            text = self.default() if callable(self.default) else self.default
        if text is None:
            return None
        try:
            return self.parse(text)
        except ValueError as exc:
            raise SettingFault(
                self.name,
                f"--{self.name} {text!r} cannot be used: {exc}; it is the "
                f"{self.meaning}",
            ) from exc


def fill(
    target: T,
    table: Sequence[Setting],
    flags: Mapping[str, str | None],
    env: Mapping[str, str],
) -> T:
    """Validate all settings and set them as attributes of an object.

    Parameters
    ----------
    target : object
        Object with an attribute for each setting.
    table : sequence of Setting
        Settings to read.
    flags : mapping of str to str or None
        Values of the flags by name; None for a flag that is not given.
    env : mapping of str to str
        Environment variables; a flag takes precedence over its variable.

    Returns
    -------
    object
        The ``target`` argument.

    Raises
    ------
    FaultySettings
        At least one setting is invalid. All faults are raised together, so that an
        operator can correct them in one pass.
    """
    faults = []
    for setting in table:
        text = flags.get(setting.name) or env.get(setting.variable)
        try:
            setattr(target, setting.attribute, setting.value(text))
        except SettingFault as exc:
            faults.append(exc)
    if faults:
        raise FaultySettings("the settings cannot be used", faults)
    return target
