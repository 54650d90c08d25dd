"""One setting, and the reading of a whole table of them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

from berylstage_settings.errors import FaultySettings, SettingFault

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

ENVIRONMENT_PREFIX = "BERYLSTAGE_"

T = TypeVar("T")


class Setting:
    """One setting.

    Parameters
    ----------
    name : str
        Name of the flag; the environment variable is derived from it.
    parse : callable
        Makes the value from text; raises ValueError, whose message says what would do.
    meaning : str
        What it is for, for ``--help`` and the operators' pages.
    default : str or callable or None
        Text to parse when the setting is not given, or what returns it.
    default_text : str, optional
        The default in words, where the text itself does not say it.
    required : bool
        Whether it must be given; one that is neither given nor required nor has a
        default is None.
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
        words = "must be given" if required else default or "none"
        self.default_text = default_text or str(words)
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
        """Return the value.

        Parameters
        ----------
        text : str or None
            None when the setting was not given.

        Returns
        -------
        object

        Raises
        ------
        SettingFault
            It must be given, or the text cannot be used.
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
    """Check all settings and set them as attributes of an object.

    Parameters
    ----------
    target : object
        Has an attribute for each setting.
    table : sequence of Setting
    flags : mapping of str to str or None
        Values of the flags, by name; None where a flag was not given.
    env : mapping of str to str
        Environment variables; a flag goes before its variable.

    Returns
    -------
    object
        The target.

    Raises
    ------
    FaultySettings
        All faults at once, so that a new machine is set up in one go.
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
